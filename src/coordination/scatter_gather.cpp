/** @file scatter_gather.cpp Fan-out to every shard at one pinned index version, retries, and the merge. */
#include <cornelspring/coordination.hpp>

namespace cornelspring {
namespace {

/** Seconds a caller is told to wait when no shard could answer. */
constexpr int no_answer_retry_after_s = 1;

} // namespace

/** Per-query state; touched only on the client thread. */
struct scatter_gather::query_state {
    /** One shard of the query. */
    struct shard_slot {
        std::vector<replica> candidates; ///< Replicas holding the pinned version.
        std::vector<bool> tried;         ///< Which candidates were tried.
        std::int32_t tries = 0;          ///< Requests sent for this shard.
        bool settled = false;            ///< Answered, or given up.
        bool answered = false;           ///< Its hits are in.
        std::vector<hit> hits;           ///< Its hits.
    };

    query_request query;                             ///< The caller's request.
    std::shared_ptr<config_snapshot const> snapshot; ///< Configuration routed by.
    std::int64_t version = 0;                        ///< Pinned index version.
    time_point deadline;                             ///< When the answer is due.
    std::vector<shard_slot> shards;                  ///< Shards by number.
    std::size_t unsettled = 0;                       ///< Shards not yet settled.
    std::int32_t dispatched = 0;                     ///< Shard requests sent.
    std::int32_t reached = 0;                        ///< Shard requests that left this process (may have run).
    bool finished = false;                           ///< done was called.
    std::function<void(gather_result)> done;         ///< Result sink.
};

replica_chooser make_rotating_chooser()
{
    auto counter = std::make_shared<std::size_t>(0);
    return [counter](std::vector<replica> const& candidates, std::vector<bool> const& tried,
                     time_point) -> std::optional<std::size_t> {
        std::size_t const start = (*counter)++;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            std::size_t const pick = (start + i) % candidates.size();
            if (!tried[pick]) return pick;
        }
        return std::nullopt;
    };
}

scatter_gather::scatter_gather(h2_client& client, gather_options options, replica_chooser chooser)
    : m_client(client), m_options(options), m_chooser(std::move(chooser))
{
}

void scatter_gather::run(std::shared_ptr<config_snapshot const> snapshot, query_request query,
                         std::function<void(gather_result)> done)
{
    auto state = std::make_shared<query_state>();
    auto const found = snapshot->services.find(query.service);
    if (found == snapshot->services.end()) {
        gather_result result;
        result.failure = error(error_kind::not_found, "service '" + query.service + "' does not exist.",
                               "Ask for a service listed by 'cornel-ctl list service'.");
        done(std::move(result));
        return;
    }
    milliseconds const budget = query.deadline_ms > 0 ? milliseconds(query.deadline_ms) : m_options.default_deadline;
    state->deadline = clock::now() + budget;
    state->version = found->second.index_version;
    state->shards.resize(static_cast<std::size_t>(found->second.shards));
    for (std::size_t shard = 0; shard < state->shards.size(); ++shard) {
        auto& slot = state->shards[shard];
        slot.candidates = snapshot->replicas(query.service, static_cast<std::int32_t>(shard), state->version);
        slot.tried.assign(slot.candidates.size(), false);
    }
    state->unsettled = state->shards.size();
    state->query = std::move(query);
    state->snapshot = std::move(snapshot);
    state->done = std::move(done);
    m_client.post([this, state] {
        for (std::size_t shard = 0; shard < state->shards.size(); ++shard)
            send_shard(state, shard);
    });
}

void scatter_gather::send_shard(std::shared_ptr<query_state> const& state, std::size_t shard)
{
    auto& slot = state->shards[shard];
    auto const now = clock::now();
    std::optional<std::size_t> pick;
    if (slot.tries < m_options.max_tries_per_shard && now < state->deadline) {
        pick = m_chooser(slot.candidates, slot.tried, now);
    }
    if (!pick) {
        slot.settled = true;
        --state->unsettled;
        maybe_finish(state);
        return;
    }
    slot.tried[*pick] = true;
    ++slot.tries;
    ++state->dispatched;
    shard_query message;
    message.request_id = state->query.request_id;
    message.service = state->query.service;
    message.shard = static_cast<std::int32_t>(shard);
    message.index_version = state->version;
    message.terms = split_terms(state->query.query);
    message.k = state->query.k;
    auto const left = std::chrono::duration_cast<milliseconds>(state->deadline - now);
    message.deadline_ms = std::max<std::int64_t>(1, left.count());
    http_request request;
    request.method = "POST";
    request.path = paths::shard_search;
    request.headers.push_back({"content-type", "application/json"});
    request.body = nlohmann::json(message).dump();
    m_client.submit(slot.candidates[*pick].address, std::move(request), left,
                    [this, state, shard](client_result result) { on_result(state, shard, std::move(result)); });
}

void scatter_gather::on_result(std::shared_ptr<query_state> const& state, std::size_t shard, client_result result)
{
    if (state->finished) return;
    if (result.outcome != send_outcome::not_sent) ++state->reached;
    auto& slot = state->shards[shard];
    if (result.outcome == send_outcome::answered && result.response.status == 200) {
        try {
            auto answer = parse_message<shard_answer>(result.response.body, "shard answer");
            // An answer counts only if it is for this request, this shard and the pinned version.
            bool const own = answer.request_id == state->query.request_id &&
                             answer.shard == static_cast<std::int32_t>(shard) &&
                             answer.index_version == state->version && answer.service == state->query.service;
            if (own) {
                slot.hits = std::move(answer.hits);
                slot.answered = true;
                slot.settled = true;
                --state->unsettled;
                maybe_finish(state);
                return;
            }
        } catch (error const&) {
            // A malformed answer is treated like no answer: the shard is tried on another replica.
        }
    }
    send_shard(state, shard);
}

void scatter_gather::maybe_finish(std::shared_ptr<query_state> const& state)
{
    if (state->finished || state->unsettled > 0) return;
    state->finished = true;
    gather_result result;
    result.dispatched = state->dispatched;
    result.reached = state->reached;
    query_answer answer;
    answer.request_id = state->query.request_id;
    answer.service = state->query.service;
    answer.index_version = state->version;
    answer.shards_total = static_cast<std::int32_t>(state->shards.size());
    std::vector<std::vector<hit>> lists;
    for (auto& slot : state->shards) {
        if (!slot.answered) continue;
        ++answer.shards_answered;
        lists.push_back(std::move(slot.hits));
    }
    answer.coverage =
        answer.shards_total == 0 ? 0.0 : static_cast<double>(answer.shards_answered) / answer.shards_total;
    answer.hits = merge_top_k(lists, static_cast<std::size_t>(state->query.k));
    if (answer.shards_answered > 0) {
        result.answer = std::move(answer);
    } else if (state->reached == 0) {
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
