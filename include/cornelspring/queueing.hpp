/**
 * @file queueing.hpp The queue of requests that wait for a backend server of one service, without sockets or clock
 * reads: in which order they are sent when a connection becomes free.
 */
#pragma once

#include <cornelspring/customers.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace cornelspring {

/** Priority of a request in a queue; the lowest value is served first. */
struct request_priority {
    int of_customer = 0; ///< Priority of its customer.
    int of_route = 0;    ///< Priority of its route, among requests of customers with the same priority.
    /** Priorities compare by customer, then by route. */
    auto operator<=>(request_priority const&) const = default;
};

/** Order of the waiting requests of one priority. */
enum class queue_order {
    arrival, ///< First in, first out.
    /** The customer that was served least recently first, and of its requests the one with the earliest goal. */
    fair
};

/** A shard of a request that waits for a backend server with room. */
struct shard_waiter {
    std::uint64_t request = 0; ///< Request key.
    std::size_t shard = 0;     ///< Shard of the request.
    request_priority priority; ///< Priority.
    customer_name customer;    ///< Customer; empty without one.
    time_point goal_at;        ///< When the response is due.
};

/**
 * Waiting shards of one service. Requests of a higher priority go first. Within a priority, the order `fair` answers
 * two kinds of load: a customer that sends many times its usual load would fill a first-in-first-out queue, so that the
 * others' requests wait behind all of its; and retries of callers have less time left than new requests.
 */
class shard_queue {
public:
    /** Adds a waiter. @param waiter waiter. @param order order within its priority. */
    void push(shard_waiter waiter, queue_order order);
    /** @return the waiter to serve next, or null if there is none. It stays in the queue until pop(). */
    shard_waiter const* next();
    /** Removes the waiter that next() has returned. @param served whether it was sent, which counts for the order of
     *  customers; false if it no longer needs a server. */
    void pop(bool served);
    /** @return number of waiters. */
    std::size_t size() const { return m_size; }
    /** @return whether nobody waits. */
    bool empty() const { return m_size == 0; }

private:
    /** Waiters of one customer by due time; those of equal due times in order of arrival. */
    using waiters = std::multimap<time_point, shard_waiter>;
    /** Waiters of one priority, by customer. */
    using level = std::map<std::string, waiters>;
    /** @return the customer of @p from that was served least recently. */
    level::iterator choose_customer(level& from) const;

    std::map<request_priority, level> m_levels;         ///< Waiters by priority; no level is empty.
    std::map<std::string, std::uint64_t> m_last_served; ///< Number of the last service, by waiting customer.
    std::optional<std::map<request_priority, level>::iterator> m_next_level; ///< Level of next().
    level::iterator m_next;                                                  ///< Customer of next().
    std::uint64_t m_served = 0;                                              ///< Number of services so far.
    std::size_t m_size = 0;                                                  ///< Number of waiters.
};

} // namespace cornelspring
