/** @file scatter_gather.cpp Fan-out to every shard at one pinned index version, with retries, hedges and the merge. */
#include <cornelspring/coordination.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Retry-After in seconds when no shard responded. */
constexpr int no_response_retry_after_s = 1;
/** A query older than this many hedge delays is hedged even when many of its shards are unfinished. */
constexpr int hedge_all_after_delays = 4;
/** Hedging may always start when at most this many shards are unfinished, however few shards the query has. */
constexpr std::size_t min_hedge_tail = 4;

using std::chrono::microseconds;

} // namespace

/** One request for a shard that is in flight. */
struct scatter_gather::attempt {
    std::int32_t number = 0;   ///< Number of the request within its shard, from 1.
    std::size_t candidate = 0; ///< Replica it was sent to.
    call_id call;              ///< Transport call.
    time_point sent_at;        ///< When it was sent.
};

/** State of a query; used only on the client thread. */
struct scatter_gather::query_state {
    /** One shard of the query. */
    struct shard_slot {
        std::vector<replica> const* candidates = nullptr; ///< Replicas holding the pinned version.
        std::vector<bool> tried;                          ///< Replicas tried since the last wait.
        std::vector<attempt> open_attempts;               ///< Requests in flight.
        std::int32_t tries = 0;                           ///< First attempt and retries.
        std::int32_t hedges = 0;                          ///< Requests sent while another was in flight.
        bool retry_scheduled = false;                     ///< A retry waits for its backoff.
        bool retryable = false;                           ///< A replica failed for a reason that may be temporary.
        bool finished = false;                            ///< It responded, or is not tried any more.
        bool responded = false;                           ///< Its hits were received.
        std::int64_t version = 0;                         ///< Index version of its hits.
        std::vector<hit> hits;                            ///< Its hits.
    };

    query_request query;                             ///< The caller's request.
    std::vector<std::string> terms;                  ///< Its search terms, split once for all shards.
    std::shared_ptr<config_snapshot const> snapshot; ///< Configuration to route by.
    std::int64_t version = 0;                        ///< Pinned index version.
    std::uint64_t generation = 0;                    ///< Incremented when the query restarts.
    time_point started_at;                           ///< When the requests of this generation were first sent.
    time_point deadline;                             ///< Time after which the caller no longer waits.
    std::vector<shard_slot> shards;                  ///< Shards by number.
    std::size_t unfinished_shards = 0;               ///< Number of shards not finished.
    bool version_retired = false;                    ///< A replica no longer held the pinned version.
    gather_result counts;                            ///< Counters for the result.
    bool finished = false;                           ///< done was called.
    std::function<void(gather_result)> done;         ///< Receives the result.
};

scatter_gather::scatter_gather(h2_client& client, gather_options options, replica_chooser chooser,
                               backend_tracker& tracker, snapshot_source current)
    : m_client(client), m_options(options), m_chooser(std::move(chooser)), m_tracker(tracker),
      m_current(std::move(current)), m_retry_budget(options.retry_ratio, options.retry_burst),
      m_hedge_budget(options.hedge_ratio, options.hedge_burst)
{
}

void scatter_gather::run(std::shared_ptr<config_snapshot const> snapshot, query_request query,
                         std::function<void(gather_result)> done)
{
    if (snapshot->services.count(query.service) == 0) {
        gather_result result;
        result.failure = error(error_kind::not_found, "service '" + query.service + "' does not exist.",
                               "Ask for a service listed by 'cornel-ctl list service'.");
        done(std::move(result));
        return;
    }
    auto state = std::make_shared<query_state>();
    milliseconds const budget = query.deadline_ms > 0 ? milliseconds(query.deadline_ms) : m_options.default_deadline;
    state->deadline = clock::now() + budget;
    state->query = std::move(query);
    state->terms = split_terms(state->query.query);
    state->done = std::move(done);
    m_client.post([this, state, snapshot = std::move(snapshot)] { start(state, snapshot); });
}

void scatter_gather::start(state_ptr const& state, std::shared_ptr<config_snapshot const> snapshot)
{
    state->snapshot = std::move(snapshot);
    state->started_at = clock::now();
    auto const& service = state->snapshot->services.at(state->query.service);
    state->version = service.index_version;
    state->version_retired = false;
    state->shards.assign(static_cast<std::size_t>(service.shards), {});
    state->unfinished_shards = state->shards.size();
    std::uint64_t const generation = ++state->generation;
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        slot.candidates =
            &state->snapshot->replicas(state->query.service, static_cast<std::int32_t>(shard), state->version);
        slot.tried.assign(slot.candidates->size(), false);
    }
    m_retry_budget.earn(state->shards.size());
    m_hedge_budget.earn(state->shards.size());
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        if (!send_shard(state, shard)) finish_shard(state, shard);
    }
    finish_if_complete(state);
    if (state->finished || !m_options.hedge) return;
    m_client.run_at(clock::now() + hedge_delay(state->query.service),
                    [this, state, generation] { hedge_slow_shards(state, generation); });
}

bool scatter_gather::send_shard(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    if (slot.tries >= m_options.max_tries_per_shard || now >= state->deadline) return false;
    auto const candidate = m_chooser(*slot.candidates, slot.tried, now);
    if (!candidate) return false;
    ++slot.tries;
    send_attempt(state, shard, *candidate, now);
    return true;
}

void scatter_gather::send_attempt(state_ptr const& state, std::size_t shard, std::size_t candidate, time_point now)
{
    auto& slot = state->shards[shard];
    slot.tried[candidate] = true;
    std::int32_t const number = slot.tries + slot.hedges;
    ++state->counts.attempts;
    auto const left = std::chrono::duration_cast<milliseconds>(state->deadline - now);
    shard_query message;
    message.request_id = state->query.request_id;
    message.service = state->query.service;
    message.shard = static_cast<std::int32_t>(shard);
    message.index_version = state->version;
    message.terms = state->terms;
    message.k = state->query.k;
    message.deadline_ms = std::max<std::int64_t>(1, left.count());
    auto request = json_post(paths::shard_search, nlohmann::json(message).dump());
    auto const& target = (*slot.candidates)[candidate];
    m_tracker.on_sent(target.name);
    auto const call =
        m_client.submit(target.address, std::move(request), std::max(left, milliseconds(1)),
                        [this, state, generation = state->generation, shard, number](client_result result) {
                            on_result(state, generation, shard, number, std::move(result));
                        });
    slot.open_attempts.push_back({number, candidate, call, now});
}

void scatter_gather::on_result(state_ptr const& state, std::uint64_t generation, std::size_t shard, std::int32_t number,
                               client_result result)
{
    // The requests of a finished shard, a finished query or an earlier generation were canceled: ignores their results.
    if (state->finished || generation != state->generation) return;
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    auto const found = std::find_if(slot.open_attempts.begin(), slot.open_attempts.end(),
                                    [number](attempt const& item) { return item.number == number; });
    if (found == slot.open_attempts.end()) return;
    std::size_t const candidate = found->candidate;
    auto const elapsed = std::chrono::duration_cast<microseconds>(now - found->sent_at);
    slot.open_attempts.erase(found);
    if (result.outcome != send_outcome::not_sent) ++state->counts.sent;
    auto const& target = (*slot.candidates)[candidate];
    bool const responded = result.outcome == send_outcome::answered && result.response.status == 200;
    if (responded && accept_response(*state, shard, result.response.body)) {
        m_tracker.on_finished(target.name, attempt_outcome::succeeded, elapsed, now);
        m_latencies[state->query.service].add(elapsed);
        finish_shard(state, shard);
        finish_if_complete(state);
        return;
    }
    auto const failure = classify_failure(result);
    if (failure == attempt_outcome::not_held) {
        state->version_retired = true;
    } else {
        slot.retryable = true;
    }
    m_tracker.on_finished(target.name, failure, elapsed, now);
    if (slot.open_attempts.empty()) retry_shard(state, shard);
}

bool scatter_gather::accept_response(query_state& state, std::size_t shard, std::string const& body)
{
    try {
        auto response = parse_message<shard_response>(body, "shard answer");
        // The response must be for this request, this service, this shard and the pinned version.
        bool const matches = response.request_id == state.query.request_id &&
                             response.shard == static_cast<std::int32_t>(shard) &&
                             response.index_version == state.version && response.service == state.query.service;
        if (!matches) return false;
        auto& slot = state.shards[shard];
        slot.hits = std::move(response.hits);
        slot.version = response.index_version;
        slot.responded = true;
        return true;
    } catch (error const&) {
        return false; // A malformed response counts as a failure: the shard is retried on another replica.
    }
}

void scatter_gather::retry_shard(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    bool const allowed = slot.tries < m_options.max_tries_per_shard && now < state->deadline;
    if (!allowed || !m_retry_budget.try_consume()) {
        finish_shard(state, shard);
        finish_if_complete(state);
        return;
    }
    if (send_shard(state, shard)) {
        ++state->counts.retries;
        return;
    }
    // Every replica was tried. One that shed the request or lost its connection may be able to serve it later.
    auto const retry_at = now + m_options.retry_backoff * slot.tries;
    if (!slot.retryable || retry_at >= state->deadline) {
        finish_shard(state, shard);
        finish_if_complete(state);
        return;
    }
    slot.retry_scheduled = true;
    m_client.run_at(retry_at, [this, state, shard, generation = state->generation] {
        if (state->finished || generation != state->generation) return;
        auto& retried = state->shards[shard];
        retried.retry_scheduled = false;
        retried.tried.assign(retried.tried.size(), false);
        if (send_shard(state, shard)) {
            ++state->counts.retries;
            return;
        }
        finish_shard(state, shard);
        finish_if_complete(state);
    });
}

microseconds scatter_gather::hedge_delay(std::string const& service)
{
    auto const observed = m_latencies[service].quantile(m_options.hedge_quantile);
    return std::max<microseconds>(m_options.min_hedge_delay, observed.value_or(m_options.initial_hedge_delay));
}

void scatter_gather::hedge_slow_shards(state_ptr const& state, std::uint64_t generation)
{
    if (state->finished || generation != state->generation) return;
    auto const now = clock::now();
    auto const delay = hedge_delay(state->query.service);
    m_client.run_at(now + delay, [this, state, generation] { hedge_slow_shards(state, generation); });
    // While many shards are unfinished, the query as a whole is late rather than a few slow shards, and hedging all of
    // them would use up the budget that the slow ones need later. If many are still unfinished after
    // hedge_all_after_delays, many backend servers are slow, and hedging starts.
    auto const tail = static_cast<std::size_t>(m_options.hedge_tail_share * static_cast<double>(state->shards.size()));
    bool const recently_started = now - state->started_at < delay * hedge_all_after_delays;
    if (recently_started && state->unfinished_shards > std::max(min_hedge_tail, tail)) return;
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        if (slot.finished || slot.open_attempts.empty() || now - slot.open_attempts.back().sent_at < delay) continue;
        if (slot.hedges >= m_options.max_hedges_per_shard) continue;
        // Skips replicas with a request for this shard in flight, unless all of them have one.
        std::vector<bool> in_flight(slot.candidates->size(), false);
        for (auto const& item : slot.open_attempts)
            in_flight[item.candidate] = true;
        if (slot.open_attempts.size() >= in_flight.size()) in_flight.assign(in_flight.size(), false);
        auto const candidate = m_chooser(*slot.candidates, in_flight, now);
        if (!candidate) continue;
        if (!m_hedge_budget.try_consume()) break;
        ++slot.hedges;
        send_attempt(state, shard, *candidate, now);
        ++state->counts.hedges;
    }
}

void scatter_gather::cancel_open_attempts(query_state& state, std::size_t shard, time_point now)
{
    auto& slot = state.shards[shard];
    for (auto const& item : slot.open_attempts) {
        m_client.cancel(item.call);
        ++state.counts.sent; // a canceled request may have been sent
        auto const elapsed = std::chrono::duration_cast<microseconds>(now - item.sent_at);
        m_tracker.on_finished((*slot.candidates)[item.candidate].name, attempt_outcome::canceled, elapsed, now);
    }
    slot.open_attempts.clear();
}

void scatter_gather::finish_shard(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    if (slot.finished) return;
    slot.finished = true;
    --state->unfinished_shards;
    cancel_open_attempts(*state, shard, clock::now());
}

bool scatter_gather::restart_at_current_version(state_ptr const& state)
{
    if (!state->version_retired || !m_current || clock::now() >= state->deadline) return false;
    auto current = m_current();
    auto const service = current->services.find(state->query.service);
    if (service == current->services.end() || service->second.index_version == state->version) return false;
    start(state, std::move(current));
    return true;
}

void scatter_gather::finish_if_complete(state_ptr const& state)
{
    if (state->finished || state->unfinished_shards > 0) return;
    query_response response;
    response.request_id = state->query.request_id;
    response.service = state->query.service;
    response.index_version = state->version;
    response.shards_total = static_cast<std::int32_t>(state->shards.size());
    std::vector<std::vector<hit>> lists;
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        if (!slot.responded) {
            response.missing.push_back(static_cast<std::int32_t>(shard));
            continue;
        }
        check_invariant(slot.version == state->version, "every shard response comes from the pinned index version");
        ++response.shards_answered;
        lists.push_back(std::move(slot.hits));
    }
    if (!response.missing.empty() && restart_at_current_version(state)) return;
    state->finished = true;
    response.coverage =
        response.shards_total == 0 ? 0.0 : static_cast<double>(response.shards_answered) / response.shards_total;
    response.hits = merge_top_k(lists, static_cast<std::size_t>(state->query.k));
    gather_result result = std::move(state->counts);
    check_invariant(result.sent <= result.attempts, "no more requests were sent than attempts were made");
    if (response.shards_answered > 0) {
        result.response = std::move(response);
    } else if (result.sent == 0) {
        // Every request failed before any byte of it was sent, so no backend server ran the query.
        result.failure =
            error(error_kind::not_run, "no replica of '" + state->query.service + "' could take the query.",
                  "Come back after the time in Retry-After; the query did not run.");
        result.retry_after_s = no_response_retry_after_s;
    } else {
        result.failure = error(error_kind::unavailable, "no shard of '" + state->query.service + "' answered in time.",
                               "Come back after the time in Retry-After.");
        result.retry_after_s = no_response_retry_after_s;
    }
    state->done(std::move(result));
}

} // namespace cornelspring
