/** @file feed_fleet.hpp Many gateways that read the state of the store from it and from each other, in virtual time. */
#pragma once

#include "emulator/event_queue.hpp"

#include <cornelspring/feed.hpp>

namespace cornelspring::testing {

/** Faults of a gateway, or of its access to the store. */
enum class fault_mode {
    none,        ///< No fault.
    unreachable, ///< It sends no responses.
    refusing,    ///< It rejects all requests.
    stale,       ///< A gateway responds from a copy that is no longer confirmed.
};

/** Simulates the store, gateways in failure domains, and the network between them. */
class feed_fleet {
public:
    /** @param vms gateways. @param domains failure domains; two in each region. @param seed random seed. */
    feed_fleet(int vms, int domains, std::uint64_t seed);
    ~feed_fleet();
    /** Advances the virtual time. @param span by how much. */
    void run(milliseconds span) { m_events.run_until(m_events.now() + span); }
    /** Writes a key into the store. @param key key. @param value value. */
    void write(std::string const& key, std::string const& value);
    /** Saves a copy of the store's contents. */
    void save_copy();
    /** Restores the store from the saved copy: later writes and the waiting watches are lost, and a new era starts. */
    void restore_copy();
    /** Restarts gateway @p vm with an empty local copy. */
    void restart(int vm);
    /** Restarts all gateways at once. */
    void restart_all();
    /** @return pages of full reads that the store has served so far. */
    std::int64_t store_pages() const { return m_store_pages; }
    /** @return the most pages of full reads that one gateway has served so far. */
    std::int64_t most_pages_served() const;
    /** @return whether the local copy of every gateway without a fault equals the store. */
    bool all_match_store() const;
    /** Advances the time until all_match_store(). @return how long it took, at most @p limit. */
    milliseconds time_until_all_match(milliseconds limit);
    /** Gives a random share of the gateways a fault: others get no good response from them, they cannot read the store,
     *  and with unreachable and stale they get no responses from others either. @param share share. @param how fault.
     */
    void inject_fault(double share, fault_mode how);
    /** Makes the store unreachable for a random share of the gateways, or reject them. @param share share.
     *  @param how unreachable or refusing. */
    void disconnect_from_store(double share, fault_mode how);
    /** Removes all faults. */
    void clear_faults();
    /** Limits the resources of all VMs. @param bytes_per_ms rate of their links. @param per_item processor time that an
     *  item takes at its receiver; at its sender it takes a sixth of it. */
    void limit_resources(double bytes_per_ms, std::chrono::microseconds per_item);
    /** @return the value of @p key in the local copy of gateway @p vm; empty if it has none. */
    std::string value_at(int vm, std::string const& key) const;
    /** @return gateways without a fault. */
    std::vector<int> live() const;
    /** @return whether one of the gateways that should read the store has no fault. */
    bool any_store_reader_live() const;
    /** @return whether every gateway without a fault has @p value in its local copy. */
    bool all_have(std::string const& key, std::string const& value) const;
    /** Advances the time until all_have(). @return how long it took, at most @p limit. */
    milliseconds time_until_all_have(std::string const& key, std::string const& value, milliseconds limit);
    /** @return the longest time that a byte waited for the link of a gateway. */
    clock::duration longest_link_wait() const { return m_longest_link_wait; }
    /** @return calls to the store so far. */
    std::int64_t store_calls() const { return m_store_calls; }
    /** @return the largest age of the local copy of a gateway without a fault. */
    milliseconds max_copy_age() const;

private:
    struct vm_state;
    /** Starts gateway @p vm. */
    void start(int vm);
    /** Advances the time until @p holds. @return how long it took, at most @p limit. */
    milliseconds time_until(std::function<bool()> const& holds, milliseconds limit);
    /** Runs @p task after @p wait. */
    void after(clock::duration wait, std::function<void()> task)
    {
        m_events.schedule(m_events.now() + wait, std::move(task));
    }
    /** @return a random share of the gateways. */
    std::vector<vm_state*> random_vms(double share);
    /** Uses processor time of a VM. @return time until it is done, including the work queued before. */
    clock::duration use_processor(vm_state& vm, clock::duration time) const;
    /** Queues bytes at a VM's link. @return time until they have been sent. */
    clock::duration use_link(vm_state& vm, std::size_t bytes);
    /** Delivers a call of gateway @p from; @p done receives the response or the time-out. */
    void deliver(int from, feed_call const& call, feed_io::response_handler const& done);
    /** Handles a call at the store. */
    void call_store(int from, feed_call const& call, std::function<void(feed_response)> const& send_response);
    /** Handles a call at a peer gateway. */
    void call_peer(int from, feed_call const& call, std::function<void(feed_response)> const& send_response);
    /** Responds to the waiting watches of the store. */
    void respond_to_store_watches();
    /** @return the index of the gateway with a store key. */
    int index_of(std::string const& key) const;

    /** A watch waiting at the store. */
    struct store_watch {
        store_position after;                       ///< Position of its sender's copy.
        std::function<void(feed_response)> respond; ///< Sends the response.
        std::shared_ptr<bool> open;                 ///< It has no response yet.
    };

    event_queue m_events;
    state_mirror m_store;
    state_mirror m_saved_copy;
    store_position m_position{store_era(1), 1};
    std::int64_t m_era = 1;
    std::vector<store_watch> m_watches;
    std::vector<std::unique_ptr<vm_state>> m_vms;
    std::vector<std::unique_ptr<vm_state>> m_stopped_vms; ///< Kept, since their last calls may be in flight.
    member_map m_members;
    std::mt19937_64 m_random;
    std::int64_t m_store_calls = 0;
    std::int64_t m_store_pages = 0;
    std::uint64_t m_last_key = 0;
    clock::duration m_longest_link_wait{0};
    double m_bytes_per_ms = 1e9;
    std::chrono::microseconds m_per_item{0};
};

} // namespace cornelspring::testing
