/**
 * @file authority.hpp Which VM may act for a subject, without sockets or clock reads: the first active VM in rendezvous
 * order, its keeper, and never two VMs at a time.
 */
#pragma once

#include <cornelspring/base.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cornelspring {

/** Whether a VM may act for a subject. */
struct keeper_standing {
    /** Kinds. */
    enum class kind {
        acting,  ///< It may act.
        waiting, ///< It is the keeper and may not act yet, or its copy of the store is not confirmed.
        other,   ///< Another VM is the keeper.
    };
    kind is = kind::other;             ///< Kind.
    time_point since;                  ///< When this VM became the keeper; identifies its term.
    time_point alone_since;            ///< Since then, no other VM has acted; only if acting.
    bool handed_over = false;          ///< The former keeper handed the subject over in this term.
    std::chrono::milliseconds wait{0}; ///< Time after which to ask again, if it may not act.
};

/** How a keeper follows another one that did not hand its subjects over. */
struct takeover_limits {
    std::chrono::milliseconds max_age;       ///< Greatest age of a copy on which a keeper may act.
    std::chrono::milliseconds takeover_wait; ///< Time for which a new keeper waits for the former one to stop.
};

/**
 * Decides whether this VM may act for a subject, so that at most one VM acts at any time. Times are from a clock that
 * counts the time for which the VM was suspended.
 *
 * With the limits `exclusive`, A = max_age and E = max_clock_error: a VM acts as keeper only while its copy was
 * confirmed to equal the store within the last A. A VM that becomes the keeper waits until its copy, confirmed A + E
 * later, still shows it as the keeper: by then the copy of a former keeper is too old, and a VM that missed that it was
 * replaced for a short time has been without a confirmation for too long. After more than A without a confirmation a VM
 * starts anew, unless no registration of a gateway has changed meanwhile. After a pause, responses that waited in the
 * process's sockets make an old copy look confirmed; they are disregarded.
 */
class keeper_authority {
public:
    /** A: greatest age of a copy on which a keeper may act. */
    static constexpr std::chrono::milliseconds max_age{2500};
    /** E: by how much a copy may be older than it looks: transmission of the confirmation, and pauses of the process
     *  that are too short to be noticed. */
    static constexpr std::chrono::milliseconds max_clock_error{500};
    /** Longest time between calls of observe() without a pause of the process. */
    static constexpr std::chrono::milliseconds observe_interval{100};

    /** No two VMs act at a time, whatever is cut off, killed or restarted. Nobody acts for A + E and a confirmation
     *  after a keeper was lost or restarted, nor while the store is unreachable for more than A. */
    static constexpr takeover_limits exclusive{max_age, max_age + max_clock_error};
    /** A new keeper acts with the first confirmation of its copy, and one that cannot confirm it goes on for longer
     * than most outages of the store last, but less than the time until its registration lapses. Two VMs may act at a
     * time while one of them cannot see that the other one was registered in its place. */
    static constexpr takeover_limits available{std::chrono::milliseconds(5000), std::chrono::milliseconds(0)};

    /** @param self store key of this VM. @param memory for how long changes of the active VMs are remembered at least.
     *  @param limits how a keeper follows another one. */
    keeper_authority(std::string self, clock::duration memory, takeover_limits limits = exclusive);
    /** Takes notice of the time and of the age of the copy. To be called every observe_interval and before each
     *  decision. @param age age of the copy; negative: there is none. @param now current time. */
    void observe(std::chrono::milliseconds age, time_point now);
    /** Handles a change of the registrations of gateways; call observe() with the age before the change first.
     *  @param active store keys of the active VMs. @param fingerprint differs after any change of a registration.
     *  @param now current time. */
    void on_members(std::set<std::string> const& active, std::uint64_t fingerprint, time_point now);
    /** @return whether this VM may act for @p subject. @param subject subject. @param now current time. */
    keeper_standing standing(std::string const& subject, time_point now);
    /** @return the VM that may hand @p subject over to this VM, if this VM became its keeper by the last change; else
     *  empty. @param subject subject. @param now current time. */
    std::string former_keeper(std::string const& subject, time_point now);
    /** Gives @p subject up in favour of another VM. @param subject subject. @param keeper store key of that VM.
     *  @param newer whether that VM has a later copy of the store. @param now current time.
     *  @return this VM's standing before, if it is certain that no other VM acts; else nothing, and nothing changes. */
    std::optional<keeper_standing> give_up(std::string const& subject, std::string const& keeper, bool newer,
                                           time_point now);
    /** The former keeper has given @p subject up for this VM. @param subject subject. @param since the term in which it
     *  was asked to. @param now current time. @return whether that term still lasts; if so, this VM may act now. */
    bool on_handed_over(std::string const& subject, time_point since, time_point now);
    /** @return whether changes since the last call may have made this VM the keeper of subjects. */
    bool take_changed() { return std::exchange(m_changed, false); }
    /** Forgets the terms of subjects without decisions for @p idle; they can be derived again. @param idle time; at
     *  least the memory of changes. @param now current time. */
    void drop_idle(clock::duration idle, time_point now);

private:
    /** The active VMs from one change to the next. */
    struct view {
        std::uint64_t number = 0;     ///< Number of the change.
        time_point since;             ///< Time of the change.
        std::set<std::string> active; ///< Store keys of the active VMs.
        bool valid_before = false;    ///< Before the change, this VM could act as a keeper.
        time_point confirmed_before;  ///< When the copy had been confirmed before the change.
    };
    /** What is known of one subject. */
    struct term {
        std::uint64_t view = 0;          ///< Last change that was applied.
        std::optional<time_point> since; ///< When this VM became the keeper; empty: it is not.
        bool handed_over = false;        ///< The former keeper handed it over.
        time_point handed_over_at;       ///< When it did.
        time_point may_give_up_until;    ///< After its term, this VM may still hand the subject over until then.
        keeper_standing last;            ///< Standing at the end of that term.
        time_point used_at;              ///< Last decision.
    };
    /** @return whether this VM's copy allows it to act as a keeper. */
    bool valid(time_point now) const;
    /** Forgets all terms. */
    void start_anew(time_point now);
    /** @return the term of @p subject, with all changes applied. */
    term& current_term(std::string const& subject, time_point now);
    /** Applies a change to a term. */
    void apply(std::string const& subject, term& to, view const& change) const;
    /** @return whether this VM may act in a term, with a copy confirmed at @p confirmed. */
    bool may_act(term const& of, time_point confirmed) const;
    /** @return the standing in a term in which this VM may act. */
    keeper_standing acting(term const& of) const;

    std::string m_self;                        ///< Store key of this VM.
    takeover_limits m_limits;                  ///< How a keeper follows another one.
    clock::duration m_memory;                  ///< For how long changes are remembered.
    std::deque<view> m_views;                  ///< Recent changes, oldest first.
    std::uint64_t m_last_view = 0;             ///< Number of the last change.
    std::map<std::string, term> m_terms;       ///< By subject.
    std::uint64_t m_fingerprint = 0;           ///< Of the registrations.
    std::uint64_t m_confirmed_fingerprint = 0; ///< The same when the copy was last valid.
    std::optional<time_point> m_observed_at;   ///< Last observe().
    time_point m_confirmed;                    ///< When the copy was last confirmed.
    time_point m_trusted_from;                 ///< Earlier confirmations are disregarded.
    bool m_lapsed = true;                      ///< More than max_age has passed without a confirmation.
    bool m_changed = false;                    ///< For take_changed().
};

} // namespace cornelspring
