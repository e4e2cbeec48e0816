/** @file backend_service.cpp Runs searches and writes; simulates load shedding, draining and other faults. */
#include "backend_service.hpp"

namespace cornelspring {
namespace {

/** Retry-after of a rejected request, in seconds. */
constexpr int shed_retry_after_s = 1;
/** Largest number of journal entries held; the oldest are removed first. */
constexpr std::size_t journal_limit = 500000;
/** Interval at which a running job checks whether its caller has canceled the request. */
constexpr milliseconds cancel_poll_interval{2};
/** Body of a malformed response. */
constexpr char const* malformed_body = "\x01\x02 not what was asked for";

/** @return the name of @p event in the journal. */
char const* event_name(journal_event event)
{
    switch (event) {
    case journal_event::received: return "received";
    case journal_event::refused: return "refused";
    case journal_event::ran: return "ran";
    }
    return "received";
}

/** @return a 503 response which states that the request did not run. */
http_response not_run_response(std::string const& reason, bool draining)
{
    auto response = error_response(error(error_kind::not_run, reason, "Send it to another replica or come back later."),
                                   shed_retry_after_s);
    if (draining) response.headers.push_back({draining_header, "1"});
    return response;
}

} // namespace

backend_service::backend_service(backend_config config, std::vector<document> const& corpus)
    : m_config(std::move(config)), m_corpus(corpus), m_started(clock::now()),
      m_random(std::hash<std::string>{}(m_config.name))
{
    for (auto const& version : m_config.versions)
        load_version(version);
    for (std::size_t i = 0; i < m_config.slots; ++i)
        m_workers.emplace_back([this] { run_worker(); });
}

backend_service::~backend_service()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_ready.notify_all();
    for (auto& worker : m_workers)
        worker.join();
}

void backend_service::load_version(held_version const& version)
{
    for (auto shard : version.shards) {
        auto index = std::make_shared<shard_index const>(m_corpus, shard, version.index_version, version.shard_count);
        std::lock_guard lock(m_mutex);
        m_indexes[{version.index_version, shard}] = std::move(index);
    }
}

void backend_service::drop_version(std::int64_t index_version)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_indexes, [index_version](auto const& item) { return item.first.first == index_version; });
}

backend_service::index_ptr backend_service::find_index(std::int64_t version, std::int32_t shard) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_indexes.find({version, shard});
    return found == m_indexes.end() ? nullptr : found->second;
}

void backend_service::start_drain()
{
    std::lock_guard lock(m_mutex);
    m_faults.draining = true;
}

void backend_service::set_faults(backend_faults const& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
}

std::vector<journal_entry> backend_service::journal() const
{
    std::lock_guard lock(m_mutex);
    return {m_journal.begin(), m_journal.end()};
}

bool backend_service::draw_chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void backend_service::append_journal(journal_event event, job const& task)
{
    journal_entry entry;
    entry.event = event;
    entry.is_write = task.is_write;
    entry.id = task.is_write ? task.write.idempotency_key : task.query.request_id;
    entry.shard = task.is_write ? task.write.shard : task.query.shard;
    entry.index_version = task.query.index_version;
    entry.at_ms = std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count();
    m_journal.push_back(std::move(entry));
    if (m_journal.size() > journal_limit) m_journal.pop_front();
}

void backend_service::handle(http_request const& request, respond_fn reply)
{
    bool const is_post = request.method == "POST";
    if (request.path == paths::shard_search && is_post) {
        search(request, std::move(reply));
    } else if (request.path == paths::shard_write && is_post) {
        write(request, std::move(reply));
    } else if (request.path == paths::health || request.path == paths::backend_load) {
        reply(health_response());
    } else if (request.path == paths::journal) {
        reply(journal_response());
    } else if (request.path == paths::fault && is_post) {
        reply(handle_fault_request(nlohmann::json::parse(request.body, nullptr, false)));
    } else if (request.path == paths::load_version && is_post) {
        reply(handle_versions_request(nlohmann::json::parse(request.body, nullptr, false)));
    } else {
        reply(error_response(error(error_kind::not_found, "no backend server API at '" + request.path + "'.",
                                   "Use POST /v1/shard/search.")));
    }
}

http_response backend_service::health_response() const
{
    std::lock_guard lock(m_mutex);
    bool const draining = m_faults.draining && !m_faults.health_lies;
    nlohmann::json const body{{"name", m_config.name},
                              {"draining", draining},
                              {"busy", m_faults.health_lies ? 0 : m_busy},
                              {"slots", m_config.slots}};
    return json_response(draining ? 503 : 200, body.dump());
}

http_response backend_service::journal_response() const
{
    nlohmann::json list = nlohmann::json::array();
    for (auto const& entry : journal()) {
        list.push_back({{"event", event_name(entry.event)},
                        {"id", entry.id},
                        {"write", entry.is_write},
                        {"shard", entry.shard},
                        {"index_version", entry.index_version},
                        {"at_ms", entry.at_ms}});
    }
    return json_response(200, nlohmann::json{{"entries", list}}.dump());
}

http_response backend_service::handle_fault_request(nlohmann::json const& body)
{
    if (!body.is_object()) {
        return error_response(error(error_kind::bad_request, "fault body is not a JSON object.",
                                    "Send {\"delay_ms\":N,\"delay_probability\":P,\"draining\":B}."));
    }
    std::lock_guard lock(m_mutex);
    backend_faults faults;
    faults.delay_ms = body.value("delay_ms", std::int64_t{0});
    faults.delay_probability = body.value("delay_probability", 0.0);
    faults.shed_probability = body.value("shed_probability", 0.0);
    faults.garble_probability = body.value("garble_probability", 0.0);
    faults.lost_reply_probability = body.value("lost_reply_probability", 0.0);
    faults.draining = body.value("draining", m_faults.draining);
    faults.health_lies = body.value("health_lies", false);
    m_faults = faults;
    return json_response(200, R"({"ok":true})");
}

http_response backend_service::handle_versions_request(nlohmann::json const& body)
{
    if (body.is_object() && body.contains("drop")) {
        drop_version(body["drop"].get<std::int64_t>());
        return json_response(200, R"({"ok":true})");
    }
    try {
        held_version version;
        body.at("index_version").get_to(version.index_version);
        body.at("shard_count").get_to(version.shard_count);
        body.at("shards").get_to(version.shards);
        load_version(version);
    } catch (nlohmann::json::exception const& failure) {
        return error_response(error(error_kind::bad_request, std::string("malformed version: ") + failure.what(),
                                    "Send {\"index_version\":N,\"shard_count\":N,\"shards\":[..]} or {\"drop\":N}."));
    }
    return json_response(200, R"({"ok":true})");
}

void backend_service::search(http_request const& request, respond_fn reply)
{
    job task;
    task.query = parse_message<shard_query>(request.body, "shard query");
    task.request = request;
    task.reply = std::move(reply);
    auto const& query = task.query;
    task.index = query.service == m_config.service ? find_index(query.index_version, query.shard) : nullptr;
    if (task.index == nullptr) {
        std::string const what = "shard " + std::to_string(query.shard) + " of '" + query.service +
                                 "' at index version " + std::to_string(query.index_version);
        {
            std::lock_guard lock(m_mutex);
            append_journal(journal_event::received, task);
            append_journal(journal_event::refused, task);
        }
        task.reply(error_response(error(error_kind::conflict, m_config.name + " does not hold " + what + ".",
                                        "Send it to a replica that holds this shard and version.")));
        return;
    }
    admit(std::move(task));
}

void backend_service::write(http_request const& request, respond_fn reply)
{
    job task;
    task.is_write = true;
    task.write = parse_message<shard_write>(request.body, "shard write");
    task.request = request;
    task.reply = std::move(reply);
    admit(std::move(task));
}

void backend_service::admit(job task)
{
    std::int64_t const deadline_ms = task.is_write ? task.write.deadline_ms : task.query.deadline_ms;
    auto const now = clock::now();
    task.deadline = now + milliseconds(deadline_ms > 0 ? deadline_ms : max_deadline_ms);
    std::unique_lock lock(m_mutex);
    append_journal(journal_event::received, task);
    bool const draining = m_faults.draining;
    if (draining || m_busy >= m_config.slots || draw_chance(m_faults.shed_probability)) {
        append_journal(journal_event::refused, task);
        lock.unlock();
        task.reply(not_run_response(
            m_config.name + (draining ? " is draining and accepts no new requests." : " has no free slot."), draining));
        return;
    }
    ++m_busy;
    double const spread = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    task.work_duration_ms = static_cast<std::int64_t>(m_config.work_ms * spread);
    if (draw_chance(m_faults.delay_probability)) task.work_duration_ms += m_faults.delay_ms;
    if (now - m_started < milliseconds(m_config.cold_start_ms)) task.work_duration_ms += m_config.cold_extra_ms;
    task.send_malformed = !task.is_write && draw_chance(m_faults.garble_probability);
    task.lose_response = draw_chance(m_faults.lost_reply_probability);
    m_jobs.push_back(std::move(task));
    lock.unlock();
    m_ready.notify_one();
}

bool backend_service::simulate_work(job const& task, time_point started)
{
    auto const until = std::min(task.deadline, started + milliseconds(task.work_duration_ms));
    while (clock::now() < until) {
        if (task.request.is_canceled()) return false;
        std::this_thread::sleep_until(std::min(until, clock::now() + cancel_poll_interval));
    }
    return !task.request.is_canceled();
}

void backend_service::run_worker()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_ready.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping && m_jobs.empty()) return;
        job task = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        run(task);
    }
}

void backend_service::run(job& task)
{
    bool const caller_waiting = simulate_work(task, clock::now());
    bool const in_time = clock::now() < task.deadline;
    http_response response;
    if (!caller_waiting || !in_time) {
        response = error_response(error(error_kind::timeout,
                                        "the deadline passed or the caller cancelled the request before it finished.",
                                        "Give the request a longer deadline."));
    } else if (task.is_write) {
        response = json_response(200, nlohmann::json{{"ran", task.write.idempotency_key}}.dump());
    } else {
        response = task.send_malformed ? json_response(200, malformed_body) : search_response(task);
    }
    {
        // Frees the slot and completes the journal before the response is sent, so that a caller that has received
        // the response finds the request in the journal.
        std::lock_guard lock(m_mutex);
        if (caller_waiting && in_time) append_journal(journal_event::ran, task);
        --m_busy;
    }
    if (!task.lose_response) task.reply(std::move(response));
}

http_response backend_service::search_response(job const& task) const
{
    auto const& query = task.query;
    shard_response answer;
    answer.request_id = query.request_id;
    answer.service = query.service;
    answer.shard = query.shard;
    answer.index_version = query.index_version;
    answer.backend = m_config.name;
    answer.hits = task.index->search(query.terms, static_cast<std::size_t>(query.k));
    return json_response(200, nlohmann::json(answer).dump());
}

} // namespace cornelspring
