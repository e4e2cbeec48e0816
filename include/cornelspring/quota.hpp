/**
 * @file quota.hpp Quotas of customers, without sockets or clock reads. They hold over all VMs together, also while VMs
 * are cut off, killed, restarted or paused.
 *
 * A customer's limit is divided into two parts. Each part is an account, kept by the first active VM in rendezvous
 * order, its keeper. A VM admits a request only with a token that a keeper granted, and a token is valid for a tenth of
 * the window from when the VM asked for it.
 */
#pragma once

#include <cornelspring/authority.hpp>
#include <cornelspring/customers.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace cornelspring {

/** By how much all VMs together may pass a limit in one window. */
struct quota_tolerance {
    std::chrono::milliseconds window{5000}; ///< Length of the window.
    double slack = 20;                      ///< Requests beyond the limit in a window.
    double over = 0.1;                      ///< Share of the limit in a window by which it may be passed.
    /** How an account passes to another VM that takes it over. */
    takeover_limits takeover = keeper_authority::exclusive;
    /** @return the time for which a token is valid. */
    std::chrono::milliseconds token_lifetime() const { return window / 10; }
    /** @return the most requests in a window under @p limit, all tolerance included. @param limit limit. */
    double bound(quota_limit const& limit) const;
};

/** Accounts into which a limit is divided. While the keeper of one of them is down, the other one remains available. */
inline constexpr int quota_part_count = 2;

/** One of the accounts of a customer. */
struct quota_part {
    customer_name name; ///< Customer.
    int number = 0;     ///< Number of the part, from 0.
    /** Parts are ordered by name and number. */
    auto operator<=>(quota_part const&) const = default;
};
/** @return the subject of the rendezvous hashing that chooses the keeper of @p part. @param part account. */
std::string subject_of(quota_part const& part);

/** Numbers since the start of the process. */
struct quota_counters {
    std::uint64_t granted = 0;   ///< Tokens granted as a keeper.
    std::uint64_t refused = 0;   ///< Requests for which this VM's accounts had no token.
    std::uint64_t returned = 0;  ///< Unused tokens that were credited again.
    std::uint64_t expired = 0;   ///< Tokens of this VM that expired unused.
    std::uint64_t takeovers = 0; ///< Accounts that this VM took over from another VM.
    std::uint64_t handovers = 0; ///< Accounts that this VM handed over.
};

// ---- Messages ----

/** What a VM asks of the keeper of an account. */
struct quota_request {
    quota_part of;    ///< Account.
    int waiting = 0;  ///< Requests that wait for a token.
    int spare = 0;    ///< Further tokens for requests that are expected within the lifetime of a token.
    int returned = 0; ///< Tokens from this account that were not used and are still valid.
};

/** The response to it. */
struct quota_grant {
    quota_part of;                         ///< Account.
    int granted = 0;                       ///< Tokens.
    std::chrono::milliseconds none_for{0}; ///< Time for which this keeper has no further token.
    bool unavailable = false;              ///< The VM may not grant tokens at present; the account may not be used up.
};

/** A new keeper asks the former one to hand accounts over. */
struct handover_request {
    std::string keeper;            ///< Store key of the new keeper.
    std::string position;          ///< Position of its copy of the store.
    std::vector<quota_part> parts; ///< Accounts.
};

/** An account as handed over. Its sender does not grant from it any more. */
struct handed_account {
    quota_part of;    ///< Account.
    double level = 0; ///< Tokens that it holds.
};

/** Body of a call between gateways about quotas. */
struct quota_message {
    std::vector<quota_request> requests; ///< Requests for tokens.
    handover_request handover;           ///< Request for accounts; without parts: none.
};

/** Body of the response to it. */
struct quota_reply {
    std::vector<quota_grant> grants;      ///< Responses to the requests for tokens.
    std::vector<handed_account> accounts; ///< Accounts that are handed over.
};

/** @return @p message as a body. @param message message. */
std::string encode_quota_message(quota_message const& message);
/** @return the message in @p body. @param body body. @throw error bad_request when it is malformed, or a number is out
 *  of range. */
quota_message decode_quota_message(std::string const& body);
/** @return @p reply as a body. @param reply reply. */
std::string encode_quota_reply(quota_reply const& reply);
/** @return the reply in @p body. @param body body. @throw error bad_request when it is malformed, or a number is out of
 *  range. */
quota_reply decode_quota_reply(std::string const& body);

// ---- Keepers ----

/** Refill and size of one account. */
struct account_limits {
    double per_second = 0; ///< Tokens added per second.
    double size = 0;       ///< Most tokens.
};
/**
 * Divides a limit evenly. With a sum of rates R and a sum of sizes B over the parts, window w and lifetime L of a
 * token, the requests admitted in a window hold tokens that were granted within w + L: R x (w + L) + B at most, which
 * never exceeds quota_tolerance::bound().
 * @param limit limit of the customer. @param tolerance by how much it may be passed. @return limits of each part.
 */
account_limits limits_of_part(quota_limit const& limit, quota_tolerance const& tolerance);

/**
 * Token bucket. A token counts as used when it is granted. A token that is returned unused is credited only as far as
 * the bucket would hold it if it had never been granted, so that returns do not raise the bound.
 *
 * A bucket that starts with less than its size, because another VM may have granted the rest, gets the missing tokens
 * as soon as no token of that VM is in a window any more: from then on it holds what it would hold if it had started
 * full.
 */
class token_account {
public:
    /** @param level tokens at the start. @param size size of the bucket. @param tolerance lifetime of a token, and
     * length of the window. @param now time of the start. */
    token_account(double level, double size, quota_tolerance const& tolerance, time_point now)
        : m_level(level), m_level_if_full(size), m_lifetime(tolerance.token_lifetime()), m_updated_at(now),
          m_alone_at(now + tolerance.window + tolerance.token_lifetime())
    {
    }
    /** Refills the bucket, and cuts it to a lowered limit. @param limits its limits. @param now current time. */
    void refill(account_limits const& limits, time_point now);
    /** Grants tokens; call refill() before. @param count most tokens. @param now current time. @return the tokens. */
    int grant(int count, time_point now);
    /** Credits unused tokens; call refill() before. @param count tokens. @param limits limits of the account.
     *  @return number of credited ones. */
    int credit(int count, account_limits const& limits);
    /** @return the tokens, as of the last refill(). */
    double level() const { return m_level; }
    /** @return time until there is a token. @param limits limits of the account. */
    std::chrono::milliseconds time_to_token(account_limits const& limits) const;
    /** @return time of the last refill(). */
    time_point updated_at() const { return m_updated_at; }

private:
    /** Tokens that were granted at about the same time and may come back. */
    struct granted {
        time_point opened_at; ///< Time of the first of them.
        time_point at;        ///< Time of the last of them.
        int count = 0;        ///< Number of tokens.
    };
    /** Forgets all but @p most of the tokens that may come back, the oldest first. */
    void limit_returns(int most);

    double m_level;                       ///< Tokens.
    double m_level_if_full;               ///< The same if the bucket had started full.
    std::chrono::milliseconds m_lifetime; ///< Lifetime of a token.
    time_point m_updated_at;              ///< Time of the last refill.
    time_point m_alone_at;                ///< From then on, m_level_if_full is used.
    std::deque<granted> m_returnable;     ///< Tokens that may come back, oldest first.
    int m_returnable_count = 0;           ///< Sum of these.
};

/** The accounts that this VM keeps. */
class quota_keeper {
public:
    /** Ways in which accounts move between VMs. */
    enum class move {
        taken_over,  ///< This VM may grant from it, as no other one does any more.
        handed_over, ///< The former keeper handed it over to this VM.
        given_up,    ///< This VM handed it over to its new keeper.
    };
    /** Called after an account has moved. */
    using moved_hook = std::function<void(quota_part const& part, move how)>;
    /** @param self store key of this VM. @param tolerance by how much limits may be passed. @param on_moved hook. */
    quota_keeper(std::string self, quota_tolerance const& tolerance, moved_hook on_moved = {});
    /** @return decides from which accounts this VM may grant. */
    keeper_authority& authority() { return m_authority; }
    /** Responds to a request. @param request request. @param limit limit of its customer; none: the configuration has
     *  no such customer. @param now current time. @return the response. */
    quota_grant serve(quota_request const& request, std::optional<quota_limit> const& limit, time_point now);
    /** @return accounts that came to this VM by the last change, by store key of the VM that may hand them over. @param
     * customers customers with a limit. @param now current time. */
    std::map<std::string, std::vector<quota_part>> handovers_to_request(std::vector<customer_name> const& customers,
                                                                        time_point now);
    /** Hands an account over. @param part account. @param limit limit of its customer. @param keeper store key of the
     *  new keeper. @param newer whether that VM has a later copy of the store. @param now current time.
     *  @return the account, or nothing when this VM cannot be sure that no other one grants from it. */
    std::optional<handed_account> hand_over(quota_part const& part, quota_limit const& limit, std::string const& keeper,
                                            bool newer, time_point now);
    /** Takes an account that was handed over. @param account the account. @param limit limit of its customer.
     *  @param asked_at when it was asked for. @param now current time. */
    void on_handed_over(handed_account const& account, quota_limit const& limit, time_point asked_at, time_point now);
    /** Drops accounts without requests; they are full by then or start full. @param now current time. */
    void drop_idle(time_point now);
    /** @return number of accounts. */
    std::size_t size() const { return m_accounts.size(); }
    /** @return numbers since the start. */
    quota_counters const& counters() const { return m_counters; }

private:
    /** An account in one term of this VM as its keeper. */
    struct kept_account {
        time_point since;      ///< Start of the term.
        token_account account; ///< The account.
    };
    /** @return the account in a term, refilled. */
    token_account& account_of(quota_part const& part, account_limits const& limits, keeper_standing const& standing,
                              time_point now);
    /** Counts the move of an account and reports it. */
    void on_moved(quota_part const& part, move how);

    quota_tolerance m_tolerance;                   ///< By how much limits may be passed.
    keeper_authority m_authority;                  ///< From which accounts this VM may grant.
    moved_hook m_on_moved;                         ///< Called after an account has moved.
    std::map<quota_part, kept_account> m_accounts; ///< By part.
    quota_counters m_counters;                     ///< Numbers since the start.
};
/** @return the name of @p how for logs. @param how way. */
char const* to_string(quota_keeper::move how);

// ---- Use ----

/** Decision on the quota of one request. */
struct quota_decision {
    /** Kinds of decisions. */
    enum class kind {
        admitted, ///< It may run.
        waiting,  ///< A keeper is asked; decide again after quota_usage::on_grant() or when none can be asked.
        rejected, ///< No keeper has a token, or none can be asked.
    };
    kind outcome = kind::admitted;            ///< Decision.
    std::chrono::milliseconds retry_after{0}; ///< When a token can be expected, if rejected.
    bool isolated = false;                    ///< No keeper that may grant could be asked.
};

/** How the keeper of one part can be asked. */
struct keeper_route {
    time_point usable_at = time_point::max(); ///< When it may be asked again; max: there is none.
    int distance = 0;                         ///< Distance from this VM; the nearest one is asked first.
};
/** The same for all parts of a customer. */
using keeper_routes = std::array<keeper_route, quota_part_count>;

/**
 * Use of quotas by this VM: it admits a request only with a token. One request for tokens per customer is under way at
 * a time; requests that arrive meanwhile wait for its response.
 *
 * Bound, with keeper_authority::exclusive: in no window do all VMs together admit more than quota_tolerance::bound()
 * requests of a customer, whatever VMs are cut off, killed, restarted or paused, because each request uses one granted
 * token: see limits_of_part() for the tokens of one keeper after the other, and keeper_authority for why there are
 * never two of them. With keeper_authority::available, there may be two for as long as its comment says.
 */
class quota_usage {
public:
    /** @param tolerance by how much the limits may be passed. */
    explicit quota_usage(quota_tolerance const& tolerance = {}) : m_lifetime(tolerance.token_lifetime()) {}
    /** Decides about one request, and uses a token if it is admitted. @param of its customer. @param now current time.
     *  @return the decision. */
    quota_decision take(customer const& of, time_point now);
    /** Returns the token of the request that was admitted last by take() and then not sent. It stays valid until the
     *  same time as before. @param name customer. @param now current time. */
    void give_back(customer_name const& name, time_point now);
    /** A waiting request has ended without a decision. @param name customer. */
    void stop_waiting(customer_name const& name);
    /** @return customers whose requests wait for tokens, without a request for these under way. */
    std::vector<customer_name> to_ask() const;
    /** Starts a request for tokens. @param name customer from to_ask(). @param routes to the keepers. @param now
     *  current time. @return the request; nothing when no keeper can be asked: then decide again about the waiting
     * ones.
     */
    std::optional<quota_request> start_request(customer_name const& name, keeper_routes const& routes, time_point now);
    /** Starts the return of tokens that expire soon. @param now current time. @return requests for their keepers. */
    std::vector<quota_request> start_returns(time_point now);
    /** Handles a response; decide again about the waiting requests. @param grant response. @param sent_at when the
     *  request was sent. @param now current time. */
    void on_grant(quota_grant const& grant, time_point sent_at, time_point now);
    /** A request got no response. @param name customer. */
    void on_request_failed(customer_name const& name);
    /** The keepers of accounts have changed: those that had no token may have been replaced. */
    void on_keepers_changed();
    /** Drops all tokens; after a suspension of the VM their ages are not known. */
    void drop_tokens();
    /** Drops the state of customers without requests. @param now current time. */
    void drop_idle(time_point now);
    /** @return number of customers with state. */
    std::size_t size() const { return m_customers.size(); }
    /** @return number of tokens that expired unused since the start. */
    std::uint64_t expired() const { return m_expired; }

private:
    /** Tokens of the same origin. */
    struct batch {
        int part = 0;           ///< Part of the limit.
        int count = 0;          ///< Number of tokens.
        time_point valid_until; ///< When they expire.
        bool returnable = true; ///< The keeper that granted them is the present one.
    };
    /** State of one customer. */
    struct usage {
        std::deque<batch> tokens;                            ///< Tokens, oldest first.
        std::optional<batch> last_taken;                     ///< Token of the last admitted request.
        int waiting = 0;                                     ///< Requests that wait for a token.
        bool asking = false;                                 ///< A request for tokens is under way.
        bool keepers_changed = false;                        ///< Since it started, the keepers have changed.
        std::array<time_point, quota_part_count> none_until; ///< By part: its keeper has no token until then.
        std::array<bool, quota_part_count> unavailable{};    ///< By part: the reason is that it may not grant.
        time_point blocked_until;                            ///< Requests are rejected until then.
        bool isolated = false;                               ///< The reason is that no keeper can be asked.
        double recent = 0;                                   ///< Requests of the last second, decaying.
        time_point used_at;                                  ///< Last request.
    };
    /** Drops the tokens that have expired. */
    void expire(usage& state, time_point now);
    /** @return tokens to ask for beyond those for waiting requests. */
    int spare_tokens(usage const& state) const;

    std::chrono::milliseconds m_lifetime;               ///< Lifetime of a token.
    std::unordered_map<std::string, usage> m_customers; ///< By name.
    std::set<std::string> m_due;                        ///< Names of customers with waiting requests.
    std::uint64_t m_expired = 0;                        ///< Tokens that expired unused.
};

} // namespace cornelspring
