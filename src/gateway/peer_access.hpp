/** @file peer_access.hpp Decides which calls between gateways are accepted (internal). Without sockets or clock reads.
 */
#pragma once

#include <cornelspring/gateway.hpp>

#include <optional>

namespace cornelspring {

/**
 * Accepts calls between gateways only from source addresses of known gateways: the hosts of the peer addresses of
 * registered members, of members that were registered within member_memory, and of the seeds. The registration of a VM
 * that has just started may arrive here after its first call, so a call from an unknown address waits up to max_wait
 * for a change of the members; at most max_waiting calls wait at a time.
 */
class peer_access {
public:
    /** A member whose registration was removed is known for this time: its registration may have lapsed while it could
     *  not reach the store. */
    static constexpr milliseconds member_memory{600000};
    /** Longest wait of a call from an unknown address. */
    static constexpr milliseconds max_wait{500};
    /** Most calls that wait at a time. */
    static constexpr std::size_t max_waiting = 64;

    /** Decisions on a call. */
    enum class decision {
        accepted, ///< It comes from a known gateway.
        waiting,  ///< It waits; set_members() or take_expired() returns its key later.
        refused,  ///< It comes from an unknown address, and too many such calls wait.
    };
    /** @param seeds peer addresses in the settings. */
    explicit peer_access(std::vector<endpoint> const& seeds);
    /** Decides about a call. @param key its key. @param host its source address. @param now current time.
     *  @return the decision. */
    decision on_call(request_key key, std::string const& host, time_point now);
    /** Sets the registered gateways. @param members registered gateways. @param now current time.
     *  @return the keys of the waiting calls that are accepted now, in order of arrival. */
    std::vector<request_key> set_members(member_map const& members, time_point now);
    /** Takes out the calls that have waited for max_wait. @param now current time. @return their keys, to be refused.
     */
    std::vector<request_key> take_expired(time_point now);
    /** @return when the first waiting call is to be refused; nothing when none waits. */
    std::optional<time_point> next_expiry() const;
    /** Removes a waiting call, because its sender has disconnected. @param key its key. */
    void cancel(request_key key);
    /** @return whether @p host is the address of a known gateway. @param host address. @param now current time. */
    bool knows(std::string const& host, time_point now) const;
    /** @return number of calls that wait. */
    std::size_t waiting() const { return m_waiting.size(); }
    /** @return number of known addresses, without the seeds. */
    std::size_t known_members() const { return m_known_until.size(); }

private:
    /** A call from an unknown address. */
    struct waiting_call {
        request_key key;       ///< Its key.
        std::string host;      ///< Its source address.
        time_point expires_at; ///< When it is refused.
    };

    std::set<std::string> m_seeds;                             ///< Hosts of the seeds.
    std::unordered_map<std::string, time_point> m_known_until; ///< Hosts of members; max: registered.
    std::vector<waiting_call> m_waiting;                       ///< In order of arrival.
};

} // namespace cornelspring
