/** @file write_coordinator.cpp Runs non-idempotent requests at most once, by compare-and-swap records in the store. */
#include <cornelspring/coordination.hpp>

#include <future>

namespace cornelspring {
namespace {

/** Retry-After in seconds of a failed write. */
constexpr int refused_retry_after_s = 1;
/** New records are bound to one retention lease for the retention time divided by this, then to a new lease. */
constexpr std::int64_t leases_per_retention = 4;

/** @return a result with the failure and a Retry-After. */
write_result failed(error_kind kind, std::string const& message, std::string const& remedy)
{
    write_result result;
    result.failure = error(kind, message, remedy);
    result.retry_after_s = refused_retry_after_s;
    return result;
}

/** @return the result of a request that certainly did not run. */
write_result not_run(std::string const& why)
{
    return failed(error_kind::not_run, why + "; the request did not run.",
                  "Send it again with the same idempotency key after the time in Retry-After.");
}

/** @return the result of a request that may have run. */
write_result outcome_unknown(std::string const& why)
{
    return failed(error_kind::outcome_unknown, why + "; whether the request ran is not known.",
                  "It will not be run again under this key. Ask again later, or check with the service.");
}

/** @return whether @p text can be a string in JSON, which is UTF-8. */
bool is_json_text(std::string const& text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (nlohmann::json::exception const&) {
        return false;
    }
}

/** @return a hash of the request, to detect another request under the same key. */
std::string request_fingerprint(write_request const& request)
{
    return fingerprint(nlohmann::json{request.service, request.entity, request.body}.dump());
}

} // namespace

/** Outcome of claiming a key. */
struct write_coordinator::claim_result {
    bool owned = false;                   ///< This submission has claimed the key: the request may be sent.
    std::optional<write_record> existing; ///< Record of an earlier submission.
    bool timed_out = false;               ///< The store did not respond in time; nothing may be sent.
    std::string value;                    ///< The record as written to the store, when owned.
};

/** Outcome of sending a claimed request to backend servers. */
struct write_coordinator::dispatch_result {
    std::optional<write_response> response; ///< The response, when the request ran.
    bool may_have_run = false;              ///< It was sent and there was no conclusive response.
    bool expired = false;                   ///< The deadline passed before anything was sent.
    bool reached = false; ///< A backend server may have received it (and rejected it, unless it ran or may have run).
};

write_coordinator::write_coordinator(store_client& store, h2_client& client, replica_chooser chooser,
                                     backend_tracker& tracker, write_options options)
    : m_store(store), m_client(client), m_chooser(std::move(chooser)), m_tracker(tracker),
      m_options(std::move(options)), m_random(std::random_device{}())
{
    for (std::size_t i = 0; i < m_options.workers; ++i)
        m_workers.emplace_back([this] { run_worker(); });
    m_recorder = std::thread([this] { run_recorder(); });
}

write_coordinator::~write_coordinator()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_job_ready.notify_all();
    m_update_ready.notify_all();
    for (auto& worker : m_workers)
        worker.join();
    m_recorder.join();
}

void write_coordinator::run(std::shared_ptr<config_snapshot const> snapshot, write_request request,
                            std::function<void(write_result)> done)
{
    auto const service = snapshot->services.find(request.service);
    if (service == snapshot->services.end()) {
        done(failed(error_kind::not_found, "service '" + request.service + "' does not exist.",
                    "Ask for a service listed by 'cornel-ctl list service'."));
        return;
    }
    auto const budget = request.deadline_ms > 0 ? milliseconds(request.deadline_ms) : m_options.default_deadline;
    {
        std::lock_guard lock(m_mutex);
        if (!m_stopping && m_jobs.size() < m_options.queue_limit) {
            m_jobs.push_back({std::move(snapshot), std::move(request), clock::now() + budget, std::move(done)});
            m_job_ready.notify_one();
            return;
        }
    }
    done(not_run("this entry node has too many writes waiting"));
}

std::size_t write_coordinator::pending_record_updates() const
{
    std::lock_guard lock(m_mutex);
    return m_updates.size();
}

void write_coordinator::run_worker()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_job_ready.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_jobs.empty()) return;
        job task = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        task.done(execute(task));
    }
}

void write_coordinator::run_step_hook(write_step where) const
{
    if (m_options.on_step) m_options.on_step(where);
}

std::string write_coordinator::new_claim_id()
{
    std::lock_guard lock(m_mutex);
    return m_options.owner + "/" + std::to_string(m_random());
}

write_result write_coordinator::execute(job& task)
{
    auto const& request = task.request;
    write_record own_record;
    own_record.claim = new_claim_id();
    own_record.owner = m_options.owner;
    own_record.fingerprint = request_fingerprint(request);
    std::string const key = std::string(write_prefix) + request.service + "/" + request.idempotency_key;
    run_step_hook(write_step::before_claim);
    auto const claimed = claim(key, own_record, task.deadline);
    if (claimed.timed_out) return not_run("the platform store does not answer");
    if (claimed.existing) return replay(*claimed.existing, request);
    auto release_claim = [&] {
        write_record released = own_record;
        released.state = write_state::released;
        update_record({key, claimed.value, nlohmann::json(released).dump()});
    };
    run_step_hook(write_step::before_dispatch);
    auto const dispatched = dispatch(task);
    run_step_hook(write_step::before_record);
    if (dispatched.response) {
        own_record.state = write_state::done;
        own_record.result = dispatched.response->result;
        own_record.backend = dispatched.response->backend;
        update_record({key, claimed.value, nlohmann::json(own_record).dump()});
        write_result result;
        result.response = dispatched.response;
        return result;
    }
    if (dispatched.may_have_run) {
        own_record.state = write_state::unknown;
        update_record({key, claimed.value, nlohmann::json(own_record).dump()});
        return outcome_unknown("the back end did not confirm the request");
    }
    release_claim();
    if (dispatched.expired) return not_run("the deadline passed before the request was sent");
    if (!dispatched.reached) return not_run("no back end of '" + request.service + "' could be reached");
    return failed(error_kind::unavailable, "every back end of '" + request.service + "' refused the request.",
                  "Send it again with the same idempotency key after the time in Retry-After.");
}

write_coordinator::claim_result write_coordinator::claim(std::string const& key, write_record const& own_record,
                                                         time_point deadline)
{
    claim_result result;
    result.value = nlohmann::json(own_record).dump();
    auto const until = std::min(deadline, clock::now() + m_options.claim_timeout);
    std::int64_t expected = 0; // there must be no record
    bool may_have_been_written = false;
    while (clock::now() < until) {
        try {
            txn_request request;
            request.compares.push_back({key, compare_target::mod_revision, expected, ""});
            request.success.push_back({txn_op::kind::put, key, "", result.value, retention_lease()});
            request.failure.push_back({txn_op::kind::range, key, "", "", 0});
            auto const outcome = m_store.txn(request);
            if (outcome.succeeded) {
                result.owned = true;
                return result;
            }
            if (outcome.range_kvs.empty()) {
                expected = 0; // a released record expired since the last attempt
                continue;
            }
            auto const& found = outcome.range_kvs.front();
            auto const record = parse_message<write_record>(found.value, "write record");
            if (record.claim == own_record.claim && record.state == write_state::claimed) {
                result.owned = true; // an earlier attempt took effect and its response was lost
                return result;
            }
            if (record.state != write_state::released) {
                result.existing = record;
                return result;
            }
            expected = found.mod_revision;
        } catch (error const& failure) {
            if (failure.kind() == error_kind::outcome_unknown) may_have_been_written = true;
            if (failure.kind() == error_kind::not_found) {
                std::lock_guard lock(m_mutex);
                m_lease = 0; // the retention lease expired: grant a new one
            }
            std::this_thread::sleep_for(m_options.retry_delay);
        }
    }
    result.timed_out = true;
    if (may_have_been_written) {
        // The claim may be in the store, or may still arrive there. Replacing it by a released record lets the
        // caller's next submission claim the key, and makes the compare of a late claim fail.
        write_record released = own_record;
        released.state = write_state::released;
        update_record({key, result.value, nlohmann::json(released).dump()});
    }
    return result;
}

std::optional<std::size_t> write_coordinator::choose_replica(std::vector<replica> const& candidates,
                                                             std::vector<bool> const& tried)
{
    std::promise<std::optional<std::size_t>> chosen_index;
    auto future = chosen_index.get_future();
    m_client.post([&] { chosen_index.set_value(m_chooser(candidates, tried, clock::now())); });
    return future.get();
}

void write_coordinator::update_tracker(std::string const& backend, std::optional<attempt_outcome> outcome,
                                       std::chrono::microseconds elapsed)
{
    m_client.post([this, backend, outcome, elapsed] {
        if (outcome) {
            m_tracker.on_finished(backend, *outcome, elapsed, clock::now());
        } else {
            m_tracker.on_sent(backend);
        }
    });
}

write_coordinator::dispatch_result write_coordinator::dispatch(job const& task)
{
    auto const& request = task.request;
    auto const& service = task.snapshot->services.at(request.service);
    auto const shard = shard_of_entity(request.entity, service.shards);
    auto const& candidates = task.snapshot->replicas(request.service, shard, service.index_version);
    std::vector<bool> tried(candidates.size(), false);
    dispatch_result result;
    while (auto const chosen = choose_replica(candidates, tried)) {
        tried[*chosen] = true;
        auto const& target = candidates[*chosen];
        auto const started_at = clock::now();
        auto const time_left = std::chrono::duration_cast<milliseconds>(task.deadline - started_at);
        if (time_left.count() <= 0) {
            // The clock is read just before each send, so that a process paused after its claim does not send late.
            result.expired = !result.reached;
            return result;
        }
        shard_write const message{request.idempotency_key, request.service, shard, request.body, time_left.count()};
        update_tracker(target.name, std::nullopt, {});
        auto const call_result =
            m_client.call(target.address, json_post(paths::shard_write, nlohmann::json(message).dump()), time_left);
        auto const elapsed = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - started_at);
        bool const success = call_result.outcome == send_outcome::answered && call_result.response.status == 200;
        if (success && is_json_text(call_result.response.body)) {
            update_tracker(target.name, attempt_outcome::succeeded, elapsed);
            result.reached = true;
            result.response =
                write_response{request.idempotency_key, request.service, call_result.response.body, target.name, false};
            return result;
        }
        auto const failure = classify_failure(call_result);
        update_tracker(target.name, failure, elapsed);
        if (call_result.outcome == send_outcome::not_sent) continue; // it was not sent, so another replica may run it
        result.reached = true;
        if (failure != attempt_outcome::failed) continue; // rejected explicitly: it did not run there
        result.may_have_run = true;
        return result;
    }
    return result;
}

write_result write_coordinator::replay(write_record const& record, write_request const& request) const
{
    if (record.fingerprint != request_fingerprint(request)) {
        return failed(error_kind::conflict, "idempotency key '" + request.idempotency_key + "' names another request.",
                      "Use a new key for a new request.");
    }
    if (record.state == write_state::done) {
        write_result result;
        result.response = write_response{request.idempotency_key, request.service, record.result, record.backend, true};
        return result;
    }
    if (record.state == write_state::claimed) {
        return outcome_unknown("another submission of this key is in progress, or its entry node was lost");
    }
    return outcome_unknown("an earlier submission of this key was not confirmed");
}

std::int64_t write_coordinator::retention_lease()
{
    auto const now = clock::now();
    {
        std::lock_guard lock(m_mutex);
        if (m_lease != 0 && now < m_lease_renew_at) return m_lease;
    }
    auto const granted = m_store.grant_lease(m_options.retention_s + m_options.retention_s / leases_per_retention).id;
    std::lock_guard lock(m_mutex);
    m_lease = granted;
    m_lease_renew_at =
        now + std::chrono::seconds(std::max<std::int64_t>(1, m_options.retention_s / leases_per_retention));
    return m_lease;
}

bool write_coordinator::try_update(record_update const& change)
{
    std::int64_t const lease = retention_lease();
    txn_request request;
    request.compares.push_back({change.key, compare_target::value, 0, change.from});
    request.success.push_back({txn_op::kind::put, change.key, "", change.to, lease});
    request.failure.push_back({txn_op::kind::range, change.key, "", "", 0});
    auto const outcome = m_store.txn(request);
    if (outcome.succeeded || !outcome.range_kvs.empty()) return true; // written now, or the record has changed since
    // The claim is not in the store. Write the new state, so that a claim that arrives later cannot take effect.
    txn_request create;
    create.compares.push_back({change.key, compare_target::mod_revision, 0, ""});
    create.success.push_back({txn_op::kind::put, change.key, "", change.to, lease});
    return m_store.txn(create).succeeded;
}

void write_coordinator::update_record(record_update change)
{
    try {
        if (try_update(change)) return;
    } catch (error const& failure) {
        LOG4CPLUS_WARN(get_logger("entry.write"), "record update queued for retry: " << failure.what());
    }
    std::lock_guard lock(m_mutex);
    m_updates.push_back(std::move(change));
    m_update_ready.notify_one();
}

void write_coordinator::run_recorder()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_update_ready.wait(lock, [this] { return m_stopping || !m_updates.empty(); });
        if (m_stopping) return;
        record_update const change = m_updates.front();
        lock.unlock();
        bool written = false;
        try {
            written = try_update(change);
        } catch (error const&) {
            std::this_thread::sleep_for(m_options.retry_delay);
        }
        lock.lock();
        if (written) m_updates.pop_front();
    }
}

} // namespace cornelspring
