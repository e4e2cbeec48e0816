/** @file backend_service.cpp Shard search with slots, load shedding, deadlines, drain and stragglers. */
#include "backend_service.hpp"

namespace cornelspring {
namespace {

/** Seconds a shed caller is told to wait. */
constexpr int shed_retry_after_s = 1;

} // namespace

backend_service::backend_service(backend_config config, std::vector<document> const& corpus)
    : m_config(std::move(config))
{
    for (auto version : m_config.versions) {
        for (auto shard : m_config.shards) {
            m_indexes.emplace(std::make_pair(version, shard),
                              shard_index(corpus, shard, version, m_config.shard_count));
        }
    }
    for (std::size_t i = 0; i < m_config.slots; ++i)
        m_workers.emplace_back([this] { work(); });
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

shard_index const* backend_service::find_index(std::int64_t version, std::int32_t shard) const
{
    auto const found = m_indexes.find({version, shard});
    return found == m_indexes.end() ? nullptr : &found->second;
}

void backend_service::begin_drain()
{
    std::lock_guard lock(m_mutex);
    m_faults.draining = true;
}

void backend_service::handle(http_request const& request, reply_fn reply)
{
    if (request.path == paths::shard_search && request.method == "POST") {
        search(request, std::move(reply));
        return;
    }
    std::lock_guard lock(m_mutex);
    if (request.path == paths::health) {
        nlohmann::json body{{"name", m_config.name}, {"draining", m_faults.draining}};
        reply(json_response(m_faults.draining ? 503 : 200, body.dump()));
        return;
    }
    if (request.path == paths::backend_load) {
        nlohmann::json body{{"busy", m_busy}, {"slots", m_config.slots}};
        reply(json_response(200, body.dump()));
        return;
    }
    if (request.path == paths::fault && request.method == "POST") {
        auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            reply(error_response(error(error_kind::bad_request, "fault body is not a JSON object.",
                                       "Send {\"delay_ms\":N,\"delay_probability\":P,\"draining\":B}.")));
            return;
        }
        m_faults.delay_ms = body.value("delay_ms", std::int64_t{0});
        m_faults.delay_probability = body.value("delay_probability", 0.0);
        m_faults.draining = body.value("draining", m_faults.draining);
        reply(json_response(200, R"({"ok":true})"));
        return;
    }
    reply(error_response(
        error(error_kind::not_found, "no back-end API at '" + request.path + "'.", "Use POST /v1/shard/search.")));
}

void backend_service::search(http_request const& request, reply_fn reply)
{
    auto query = parse_message<shard_query>(request.body, "shard query");
    if (query.service != m_config.service || find_index(query.index_version, query.shard) == nullptr) {
        reply(
            error_response(error(error_kind::conflict,
                                 m_config.name + " does not hold shard " + std::to_string(query.shard) + " of '" +
                                     query.service + "' at index version " + std::to_string(query.index_version) + ".",
                                 "Send it to a replica that holds this shard and version.")));
        return;
    }
    std::unique_lock lock(m_mutex);
    if (m_faults.draining) {
        lock.unlock();
        reply(error_response(error(error_kind::not_run, m_config.name + " is draining and takes no new work.",
                                   "Send it to another replica."),
                             shed_retry_after_s));
        return;
    }
    if (m_busy >= m_config.slots) {
        lock.unlock();
        reply(error_response(error(error_kind::not_run, m_config.name + " has no free slot.",
                                   "Send it to another replica or come back later."),
                             shed_retry_after_s));
        return;
    }
    ++m_busy;
    bool const straggle = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.delay_probability;
    auto const deadline = clock::now() + milliseconds(query.deadline_ms > 0 ? query.deadline_ms : max_deadline_ms);
    m_jobs.push_back({std::move(query), deadline, std::move(reply), straggle});
    lock.unlock();
    m_ready.notify_one();
}

void backend_service::work()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_ready.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping && m_jobs.empty()) return;
        job task = std::move(m_jobs.front());
        m_jobs.pop_front();
        std::int64_t const delay = task.straggle ? m_faults.delay_ms : 0;
        lock.unlock();
        if (delay > 0) std::this_thread::sleep_until(std::min(task.deadline, clock::now() + milliseconds(delay)));
        run(task);
        lock.lock();
        --m_busy;
    }
}

void backend_service::run(job& task)
{
    if (clock::now() >= task.deadline) {
        task.reply(error_response(error(error_kind::timeout, "the deadline passed before the search ended.",
                                        "Give the query a longer deadline.")));
        return;
    }
    auto const* index = find_index(task.query.index_version, task.query.shard);
    shard_answer answer;
    answer.request_id = task.query.request_id;
    answer.service = task.query.service;
    answer.shard = task.query.shard;
    answer.index_version = task.query.index_version;
    answer.backend = m_config.name;
    answer.hits = index->search(task.query.terms, static_cast<std::size_t>(task.query.k));
    task.reply(json_response(200, nlohmann::json(answer).dump()));
}

} // namespace cornelspring
