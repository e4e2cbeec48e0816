/** @file scatter_gather.cpp Fan-out to every shard at one pinned index version, retries, hedges, and the merge. */
#include <cornelspring/coordination.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Seconds a caller is told to wait when no shard could answer. */
constexpr int no_answer_retry_after_s = 1;
/** Hedge delays after which a query's shards are hedged however many are open. */
constexpr int hedge_patience = 4;
/** Open shards that may always be hedged, however few the query has. */
constexpr std::size_t hedge_tail_minimum = 4;

using std::chrono::microseconds;

} // namespace

/** One request of a shard that is still open. */
struct scatter_gather::attempt {
    std::int32_t number = 0;   ///< Number of the request within its shard.
    std::size_t candidate = 0; ///< Replica it went to.
    call_id call;              ///< Transport call.
    time_point sent;           ///< When it was sent.
};

/** Per-query state; touched only on the client thread. */
struct scatter_gather::query_state {
    /** One shard of the query. */
    struct shard_slot {
        std::vector<replica> const* candidates = nullptr; ///< Replicas holding the pinned version.
        std::vector<bool> tried;                          ///< Which were tried in this round.
        std::vector<attempt> open;                        ///< Requests not yet ended.
        std::int32_t tries = 0;                           ///< First try and retries.
        std::int32_t hedges = 0;                          ///< Requests sent while another was open.
        bool waiting = false;                             ///< A later retry is scheduled.
        bool may_repeat = false;                          ///< A replica failed in a way that may pass.
        bool settled = false;                             ///< Answered, or given up.
        bool answered = false;                            ///< Its hits are in.
        std::int64_t version = 0;                         ///< Index version its hits come from.
        std::vector<hit> hits;                            ///< Its hits.
    };

    query_request query;                             ///< The caller's request.
    std::vector<std::string> terms;                  ///< Its words, split once for all shards.
    std::shared_ptr<config_snapshot const> snapshot; ///< Configuration routed by.
    std::int64_t version = 0;                        ///< Pinned index version.
    std::uint64_t generation = 0;                    ///< Raised when the query starts over.
    time_point begun;                                ///< When its shards were first sent.
    time_point deadline;                             ///< When the answer is due.
    std::vector<shard_slot> shards;                  ///< Shards by number.
    std::size_t unsettled = 0;                       ///< Shards not yet settled.
    bool version_missing = false;                    ///< A replica no longer held the pinned version.
    gather_result counts;                            ///< Counters of the result.
    bool finished = false;                           ///< done was called.
    std::function<void(gather_result)> done;         ///< Result sink.
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
    state->begun = clock::now();
    auto const& service = state->snapshot->services.at(state->query.service);
    state->version = service.index_version;
    state->version_missing = false;
    state->shards.assign(static_cast<std::size_t>(service.shards), {});
    state->unsettled = state->shards.size();
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
        if (!send_shard(state, shard)) settle(state, shard);
    }
    maybe_finish(state);
    if (state->finished || !m_options.hedge) return;
    m_client.run_at(clock::now() + hedge_delay(state->query.service),
                    [this, state, generation] { hedge_slow(state, generation); });
}

bool scatter_gather::send_shard(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    if (slot.tries >= m_options.max_tries_per_shard || now >= state->deadline) return false;
    auto const pick = m_chooser(*slot.candidates, slot.tried, now);
    if (!pick) return false;
    ++slot.tries;
    dispatch(state, shard, *pick, now);
    return true;
}

void scatter_gather::dispatch(state_ptr const& state, std::size_t shard, std::size_t pick, time_point now)
{
    auto& slot = state->shards[shard];
    slot.tried[pick] = true;
    std::int32_t const number = slot.tries + slot.hedges;
    ++state->counts.dispatched;
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
    auto const& target = (*slot.candidates)[pick];
    m_tracker.on_sent(target.name);
    auto const call =
        m_client.submit(target.address, std::move(request), std::max(left, milliseconds(1)),
                        [this, state, generation = state->generation, shard, number](client_result result) {
                            on_result(state, generation, shard, number, std::move(result));
                        });
    slot.open.push_back({number, pick, call, now});
}

void scatter_gather::on_result(state_ptr const& state, std::uint64_t generation, std::size_t shard, std::int32_t number,
                               client_result result)
{
    // Requests of a settled shard, a finished query or an earlier generation were cancelled and report nothing.
    if (state->finished || generation != state->generation) return;
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    auto const found = std::find_if(slot.open.begin(), slot.open.end(),
                                    [number](attempt const& item) { return item.number == number; });
    if (found == slot.open.end()) return;
    std::size_t const pick = found->candidate;
    auto const took = std::chrono::duration_cast<microseconds>(now - found->sent);
    slot.open.erase(found);
    if (result.outcome != send_outcome::not_sent) ++state->counts.reached;
    auto const& target = (*slot.candidates)[pick];
    bool const answered = result.outcome == send_outcome::answered && result.response.status == 200;
    if (answered && accept_answer(*state, shard, result.response.body)) {
        m_tracker.on_finished(target.name, attempt_outcome::succeeded, took, now);
        m_latencies[state->query.service].add(took);
        settle(state, shard);
        maybe_finish(state);
        return;
    }
    auto const failure = classify_failure(result);
    if (failure == attempt_outcome::not_held) {
        state->version_missing = true;
    } else {
        slot.may_repeat = true;
    }
    m_tracker.on_finished(target.name, failure, took, now);
    if (slot.open.empty()) retry_shard(state, shard);
}

bool scatter_gather::accept_answer(query_state& state, std::size_t shard, std::string const& body)
{
    try {
        auto answer = parse_message<shard_answer>(body, "shard answer");
        // An answer counts only if it is for this request, this shard and the pinned version.
        bool const own = answer.request_id == state.query.request_id &&
                         answer.shard == static_cast<std::int32_t>(shard) && answer.index_version == state.version &&
                         answer.service == state.query.service;
        if (!own) return false;
        auto& slot = state.shards[shard];
        slot.hits = std::move(answer.hits);
        slot.version = answer.index_version;
        slot.answered = true;
        return true;
    } catch (error const&) {
        return false; // A malformed answer is no answer: the shard is tried on another replica.
    }
}

void scatter_gather::retry_shard(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    bool const allowed = slot.tries < m_options.max_tries_per_shard && now < state->deadline;
    if (!allowed || !m_retry_budget.spend()) {
        settle(state, shard);
        maybe_finish(state);
        return;
    }
    if (send_shard(state, shard)) {
        ++state->counts.retries;
        return;
    }
    // Every replica was tried. One that shed or lost a connection may serve a moment later.
    auto const again = now + m_options.retry_backoff * slot.tries;
    if (!slot.may_repeat || again >= state->deadline) {
        settle(state, shard);
        maybe_finish(state);
        return;
    }
    slot.waiting = true;
    m_client.run_at(again, [this, state, shard, generation = state->generation] {
        if (state->finished || generation != state->generation) return;
        auto& later = state->shards[shard];
        later.waiting = false;
        later.tried.assign(later.tried.size(), false);
        if (send_shard(state, shard)) {
            ++state->counts.retries;
            return;
        }
        settle(state, shard);
        maybe_finish(state);
    });
}

microseconds scatter_gather::hedge_delay(std::string const& service)
{
    auto const observed = m_latencies[service].quantile(m_options.hedge_quantile);
    return std::max<microseconds>(m_options.hedge_min, observed.value_or(m_options.hedge_initial));
}

void scatter_gather::hedge_slow(state_ptr const& state, std::uint64_t generation)
{
    if (state->finished || generation != state->generation) return;
    auto const now = clock::now();
    auto const delay = hedge_delay(state->query.service);
    m_client.run_at(now + delay, [this, state, generation] { hedge_slow(state, generation); });
    // While many shards are open the whole query is late, not a few stragglers: hedging all of them would spend the
    // budget that the stragglers will need. If it stays so, many back ends are in trouble, and hedging begins.
    auto const tail = static_cast<std::size_t>(m_options.hedge_tail_share * static_cast<double>(state->shards.size()));
    bool const just_begun = now - state->begun < delay * hedge_patience;
    if (just_begun && state->unsettled > std::max(hedge_tail_minimum, tail)) return;
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        if (slot.settled || slot.open.empty() || now - slot.open.back().sent < delay) continue;
        if (slot.hedges >= m_options.max_hedges_per_shard) continue;
        // A replica that is already at work on the shard is not asked again, unless every one is.
        std::vector<bool> at_work(slot.candidates->size(), false);
        for (auto const& item : slot.open)
            at_work[item.candidate] = true;
        if (slot.open.size() >= at_work.size()) at_work.assign(at_work.size(), false);
        auto const pick = m_chooser(*slot.candidates, at_work, now);
        if (!pick) continue;
        if (!m_hedge_budget.spend()) break;
        ++slot.hedges;
        dispatch(state, shard, *pick, now);
        ++state->counts.hedges;
    }
}

void scatter_gather::cancel_rest(query_state& state, std::size_t shard, time_point now)
{
    auto& slot = state.shards[shard];
    for (auto const& item : slot.open) {
        m_client.cancel(item.call);
        ++state.counts.reached; // it may have been sent
        auto const ran = std::chrono::duration_cast<microseconds>(now - item.sent);
        m_tracker.on_finished((*slot.candidates)[item.candidate].name, attempt_outcome::canceled, ran, now);
    }
    slot.open.clear();
}

void scatter_gather::settle(state_ptr const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    if (slot.settled) return;
    slot.settled = true;
    --state->unsettled;
    cancel_rest(*state, shard, clock::now());
}

bool scatter_gather::repin(state_ptr const& state)
{
    if (!state->version_missing || !m_current || clock::now() >= state->deadline) return false;
    auto fresh = m_current();
    auto const service = fresh->services.find(state->query.service);
    if (service == fresh->services.end() || service->second.index_version == state->version) return false;
    start(state, std::move(fresh));
    return true;
}

void scatter_gather::maybe_finish(state_ptr const& state)
{
    if (state->finished || state->unsettled > 0) return;
    query_answer answer;
    answer.request_id = state->query.request_id;
    answer.service = state->query.service;
    answer.index_version = state->version;
    answer.shards_total = static_cast<std::int32_t>(state->shards.size());
    std::vector<std::vector<hit>> lists;
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        if (!slot.answered) {
            answer.missing.push_back(static_cast<std::int32_t>(shard));
            continue;
        }
        check_invariant(slot.version == state->version, "one snapshot: every shard answered at the pinned version");
        ++answer.shards_answered;
        lists.push_back(std::move(slot.hits));
    }
    if (!answer.missing.empty() && repin(state)) return;
    state->finished = true;
    answer.coverage =
        answer.shards_total == 0 ? 0.0 : static_cast<double>(answer.shards_answered) / answer.shards_total;
    answer.hits = merge_top_k(lists, static_cast<std::size_t>(state->query.k));
    gather_result result = std::move(state->counts);
    check_invariant(result.reached <= result.dispatched, "requests that reached back ends were dispatched");
    if (answer.shards_answered > 0) {
        result.answer = std::move(answer);
    } else if (result.reached == 0) {
        // Every request failed before a byte of it left this process, so no back end ran the query.
        result.failure =
            error(error_kind::not_run, "no replica of '" + state->query.service + "' could take the query.",
                  "Come back after the time in Retry-After; the query did not run.");
        result.retry_after_s = no_answer_retry_after_s;
    } else {
        result.failure = error(error_kind::unavailable, "no shard of '" + state->query.service + "' answered in time.",
                               "Come back after the time in Retry-After.");
        result.retry_after_s = no_answer_retry_after_s;
    }
    state->done(std::move(result));
}

} // namespace cornelspring
