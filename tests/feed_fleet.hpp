/** @file feed_fleet.hpp Many gateways that learn the store's state from it and from each other, in virtual time. */
#pragma once

#include "emulator/agenda.hpp"

#include <cornelspring/feed.hpp>

namespace cornelspring::testing {

/** How a gateway or the store's side of it misbehaves. */
enum class fault_mode {
    none,        ///< It is well.
    unreachable, ///< It answers nothing.
    refusing,    ///< It refuses.
    stale,       ///< A gateway answers from a copy that is confirmed no more.
};

/** The store, gateways in failure domains, and the network between them. */
class feed_fleet {
public:
    /** @param vms gateways. @param domains failure domains; two in each region. @param seed random seed. */
    feed_fleet(int vms, int domains, std::uint64_t seed);
    ~feed_fleet();
    /** Lets time pass. @param span how much. */
    void run(milliseconds span) { m_agenda.run_until(m_agenda.now() + span); }
    /** Writes a key into the store. @param key key. @param value value. */
    void write(std::string const& key, std::string const& value);
    /** Keeps a copy of what the store holds. */
    void save_copy();
    /** The store loses what was written since the copy was made, and the watches that wait. */
    void restore_copy();
    /** Gateway @p vm ends and starts anew, with nothing known. */
    void restart(int vm);
    /** @return whether every gateway that is not dark knows exactly what the store holds. */
    bool all_match_store() const;
    /** Lets time pass until all_know_the_store(). @return how long it took, at most @p limit. */
    milliseconds time_until_all_match(milliseconds limit);
    /** Turns a share of the gateways dark: others get no (good) answer from them, and with refused and silent they
     *  hear nothing themselves. @param share share. @param how how. */
    void inject_fault(double share, fault_mode how);
    /** Cuts a share of the gateways off from the store only. @param share share. @param how silent or refused. */
    void disconnect_from_store(double share, fault_mode how);
    /** Everything is well again. */
    void clear_faults();
    /** Makes all VMs small. @param bytes_per_ms what their links carry. @param per_item processor time that an item
     *  takes at its receiver; a sixth of it at its sender. */
    void limit_resources(double bytes_per_ms, std::chrono::microseconds per_item);
    /** @return the value of @p key that gateway @p vm knows. */
    std::string value_at(int vm, std::string const& key) const;
    /** @return gateways that are not dark. */
    std::vector<int> live() const;
    /** @return whether some gateway that should read the store is not dark. */
    bool any_store_reader_live() const;
    /** @return whether every gateway that is not dark knows @p value. */
    bool all_have(std::string const& key, std::string const& value) const;
    /** Lets time pass until all_know(). @return how long it took, at most @p limit. */
    milliseconds time_until_all_have(std::string const& key, std::string const& value, milliseconds limit);
    /** @return the longest time that a byte has waited at the link of a gateway. */
    clock::duration longest_link_wait() const { return m_longest_link_wait; }
    /** @return calls to the store so far. */
    std::int64_t store_calls() const { return m_store_calls; }
    /** @return the largest age of a copy that is not dark. */
    milliseconds max_copy_age() const;

private:
    struct vm_state;
    /** Starts gateway @p vm. */
    void start(int vm);
    /** Lets time pass until @p holds. @return how long it took, at most @p limit. */
    milliseconds time_until(std::function<bool()> const& holds, milliseconds limit);
    /** Runs @p task after @p wait. */
    void after(clock::duration wait, std::function<void()> task)
    {
        m_agenda.at(m_agenda.now() + wait, std::move(task));
    }
    /** @return a random share of the gateways. */
    std::vector<vm_state*> random_vms(double share);
    /** Takes processor time of a VM. @return how long that takes, with what it does before. */
    clock::duration use_processor(vm_state& vm, clock::duration time) const;
    /** Takes bytes to a VM's link. @return how long it takes until they have left. */
    clock::duration use_link(vm_state& vm, std::size_t bytes);
    /** Delivers a call of @p from. @return when its answer arrives at the earliest. */
    void deliver(int from, feed_call const& call, feed_io::response_handler const& done);
    void call_store(int from, feed_call const& call, std::function<void(feed_response)> const& reply);
    void call_peer(int from, feed_call const& call, std::function<void(feed_response)> const& reply);
    void respond_to_store_watches();
    int index_of(std::string const& key) const;

    /** A watch that waits at the store. */
    struct store_watch {
        store_position after;                       ///< What it knows.
        std::function<void(feed_response)> respond; ///< Answers it.
        std::shared_ptr<bool> open;                 ///< Still waits.
    };

    agenda m_agenda;
    state_mirror m_store;
    state_mirror m_saved_copy;
    store_position m_position{store_era(1), 1};
    std::int64_t m_era = 1;
    std::vector<store_watch> m_watches;
    std::vector<std::unique_ptr<vm_state>> m_vms;
    std::vector<std::unique_ptr<vm_state>> m_stopped_vms; ///< Their last calls may still be on the way.
    member_map m_members;
    std::mt19937_64 m_random;
    std::int64_t m_store_calls = 0;
    std::uint64_t m_last_key = 0;
    clock::duration m_longest_link_wait{0};
    double m_bytes_per_ms = 1e9;
    std::chrono::microseconds m_per_item{0};
};

} // namespace cornelspring::testing
