/** @file quota_calls.hpp Calls between gateways about the quotas of customers (internal). */
#pragma once

#include "store_channel.hpp"

#include <cornelspring/quota.hpp>

namespace cornelspring {

/**
 * Asks the keepers of accounts for tokens, and keeps accounts for others. A gateway makes one call at a time to each of
 * the others, with the requests of all customers whose accounts it keeps; what comes meanwhile goes into the next call.
 */
class quota_calls {
public:
    /** Callbacks into the gateway. */
    struct hooks {
        std::function<member_map const&()> members;           ///< Registered gateways.
        std::function<customer_directory const*()> customers; ///< Customers; null: not known yet.
        std::function<milliseconds()> state_age;              ///< Age of the local copy of the store.
        std::function<store_position()> position;             ///< Position of that copy.
        std::function<void(customer_name const&)> on_decided; ///< Waiting requests may be decided.
        std::function<void(std::string const& keeper, char const* reason)> on_failed; ///< A keeper did not respond.
        quota_keeper::moved_hook on_moved;                                            ///< An account has moved.
    };
    /** @param loop event loop. @param self store key of this VM. @param usage use of quotas by this VM.
     *  @param tolerance by how much quotas may be passed. @param outside callbacks. */
    quota_calls(event_loop& loop, std::string self, quota_usage& usage, quota_tolerance const& tolerance,
                hooks outside);
    /** Sends the requests for tokens that are due. */
    void send_requests();
    /** Handles a call of another gateway. @param request its request. @return the response. @throw error bad_request
     *  when it is malformed; then nothing changes. */
    http_response handle_call(http_request const& request);
    /** Handles a change of the registrations of gateways or of the configuration. @param active store keys of the
     * active gateways. @param fingerprint differs after any change. */
    void on_members(std::set<std::string> const& active, std::uint64_t fingerprint);
    /** Takes notice of the time; to be called before a request uses quotas, so that no token outlasts a suspension of
     *  the VM. */
    void observe();
    /** @return numbers since the start. */
    quota_counters counters() const;
    /** @return number of accounts that this VM keeps. */
    std::size_t accounts() const { return m_keeper.size(); }
    /** @return the store keys of the gateways that keep the accounts of @p name, separated by a space; empty if there
     *  is none. @param name customer. */
    std::string account_of(customer_name const& name);

private:
    /** Connections to a gateway that keeps accounts. */
    struct peer {
        std::unique_ptr<store_channel> channel;          ///< For requests for tokens.
        std::unique_ptr<store_channel> handover_channel; ///< For requests for accounts.
        bool in_flight = false;                          ///< A call on channel is in flight.
        bool handover_in_flight = false;                 ///< A call on handover_channel is in flight.
        time_point avoid_until;                          ///< It did not respond: not asked until then.
    };
    /** Calls observe() and what else is due, periodically. */
    void step();
    /** @return the limit of @p name; nothing when there is no such customer. */
    std::optional<quota_limit> limit_of(customer_name const& name) const;
    /** @return the keepers of the parts of @p name; empty strings when there is none. */
    std::array<std::string, quota_part_count> const& keepers_of(customer_name const& name);
    /** @return how the keepers of @p name can be asked. */
    keeper_routes routes_to(customer_name const& name);
    /** @return the distance of the gateway @p key from this one. */
    int distance_to(std::string const& key) const;
    /** Sends requests to @p key, or handles them if that is this VM. */
    void send(std::string const& key, std::vector<quota_request> const& requests);
    /** Handles the result of a call. */
    void on_result(std::string const& key, std::vector<quota_request> const& requests, time_point sent_at,
                   exchange_result const& result);
    /** Handles the response to a request. */
    void apply(quota_grant const& grant, time_point sent_at);
    /** Asks the former keepers of new accounts of this VM to hand them over. */
    void request_handovers();
    /** Handles the result of such a call. */
    void on_handover_result(std::string const& key, time_point asked_at, exchange_result const& result);
    /** Handles the request of another gateway for accounts. */
    std::vector<handed_account> hand_over(handover_request const& request, time_point now);

    event_loop& m_loop;                  ///< Event loop.
    std::string m_self;                  ///< Store key of this VM.
    quota_usage& m_usage;                ///< Use of quotas by this VM.
    hooks m_hooks;                       ///< Callbacks.
    quota_keeper m_keeper;               ///< Accounts kept by this VM.
    std::set<std::string> m_active;      ///< Store keys of the active gateways.
    std::uint64_t m_fingerprint = 0;     ///< Of the registrations and the configuration.
    std::map<std::string, peer> m_peers; ///< By store key.
    std::unordered_map<std::string, std::array<std::string, quota_part_count>> m_keepers; ///< By customer.
    std::optional<clock::duration> m_suspended; ///< Time for which the VM was suspended, when last observed.
    time_point m_dropped_at;                    ///< When idle state was last dropped.
};

} // namespace cornelspring
