/** @file state_feed.cpp A current copy of the store, read from it or from another gateway. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for a page of the store, which answers in milliseconds when it is well. */
constexpr milliseconds store_read_limit{1200};
/** Longest wait for a page from another gateway: 30 ms on the link of a small VM, more while it is busy. */
constexpr milliseconds peer_read_limit{1500};
/**
 * How long a watch waits at the store. A watch that is under way while the store drops its history may hear nothing of
 * later changes: with 10 s it once missed a configuration for all of them. Half of the shortest time in which a
 * configuration must be in force leaves the other half for reading and passing it on.
 */
constexpr milliseconds store_wait{1500};
/** How long a watch waits at another gateway: short, since it costs little and shows soon that the gateway hangs. */
constexpr milliseconds peer_wait{800};
/** Time a watch may be late before it counts as lost. */
constexpr milliseconds watch_margin{900};
/** Time a call may be late before others are asked at the same time: two round trips between regions, and a process
 *  that waits for its turn on a tenth of a core. It doubles with each source found in vain: an answer may simply be
 * large (a configuration with hundreds of routes more), and one that is given up and asked for anew never arrives. */
constexpr milliseconds late_after{250};
/** Most doublings of that time. */
constexpr int most_late_doublings = 2;
/** Length of a round of a search: most answers of gateways that are well have come then. */
constexpr milliseconds round_time{300};
/** An answer to the question for proof counts so long, also when other sources are being asked already: the store may
 * be slow, and regions far apart. */
constexpr milliseconds proof_limit{1200};
/** A copy that was not confirmed for so long makes this VM ask others: a watch of the store is answered each 1.5 s. */
constexpr milliseconds search_age{2000};
/** A copy proves that its holder hears of changes when it was confirmed later than this VM's by so much: neighbours
 * that have lost the same source hold copies of the same age, give or take the time an answer takes. */
constexpr milliseconds younger_by{200};
/** A copy this young needs no younger one: it says nothing against copies of about the same age. */
constexpr milliseconds young{600};
/** First pause after these; doubles up to the longest. */
constexpr milliseconds first_pause{100};
/** Longest pause between rounds: a store that returns is noticed within it. */
constexpr milliseconds longest_pause{400};
/** Shortest round, so that refusals do not lead to many questions at once. */
constexpr milliseconds shortest_round{50};
/** Shortest time between two watches of the store, so that changes in quick succession are fetched together. */
constexpr milliseconds store_gap{250};
/** Time from a full read of the store to the first watch. When all VMs start they register within half a second; a VM
 * that waits hears of all of them in one answer and follows one from then on, in place of reading the store again. */
constexpr milliseconds settle_gap{400};

} // namespace

/** State of the feed. */
struct state_feed::impl {
    feed_selector selector;                 ///< Choice of the source.
    feed_io io;                             ///< Outside calls.
    feed_events events;                     ///< Hooks.
    bool is_synced = false;                 ///< A full read is complete.
    bool needs_read = true;                 ///< A full read is to be made.
    store_position position;                ///< Up to where changes are known.
    time_point confirmed_at;                ///< When the copy was current for certain.
    time_point vouched_at;                  ///< When the present source's copy was, by its own word.
    bool calling = false;                   ///< The call for state is under way.
    std::optional<feed_source> last_source; ///< Where the last call for state went.
    std::uint64_t call_number = 0;          ///< Tells replies to abandoned calls apart.
    std::vector<store_item> pages;          ///< Items of the full read under way.
    std::string next_page;                  ///< Where its next page begins; empty: the first.
    store_position first_position;          ///< Position of its first page.
    bool searching = false;                 ///< A search is under way.
    std::uint64_t search_number = 0;        ///< Tells replies of earlier searches apart.
    int round = 0;                          ///< Round of the search.
    std::size_t unanswered = 0;             ///< Questions of the round without a reply.
    time_point round_began;                 ///< When the round began.
    bool proof_asked = false;               ///< The preferred source is being asked for proof.
    bool on_trial = false;                  ///< A search found the source, and it has not answered yet.
    int found_in_vain = 0;                  ///< Sources found since one has answered.

    impl(feed_selector s, feed_io i, feed_events e) : selector(std::move(s)), io(std::move(i)), events(std::move(e)) {}

    /** Makes the next call for state, or searches a source for it. */
    void step();
    /** Makes the next call after a wait. */
    void step_after(milliseconds wait);
    /** @return the call for state to @p source. */
    feed_call state_call(feed_source const& source) const;
    /** Asks others when the call is late, or the source's copy has become old meanwhile. */
    void watch_lateness(feed_call const& call, std::uint64_t number);
    /** Takes in the reply of a call for state. */
    void take(feed_source const& source, feed_response const& reply);
    /** Takes in a page of a full read. */
    void take_page(feed_source const& source, store_batch const& batch);
    /** Takes in changes. */
    void take_changes(feed_source const& source, store_batch const& batch);
    /** Notes what a source's answer says of the age of the copy. */
    void confirmed(feed_source const& source, store_batch const& batch);
    /** Notes that a source failed. */
    void failed(feed_source const& source, char const* reason);

    /** Begins to search another source, if no search is under way. */
    void search();
    /** Asks the sources of a round. */
    void ask_round();
    /** Ends a round; the next one follows. */
    void end_round(std::uint64_t number, int ended);
    /** @return the question for proof to @p source. */
    feed_call proof_call(feed_source const& source) const;
    /** @return why @p reply does not prove that its sender is current; null: it does. */
    char const* flaw(feed_response const& reply) const;
    /** @return whether a copy of that age proves that its holder hears of changes which this VM may have missed. */
    bool proves_more(milliseconds age) const;
    /** Begins or ends a search. */
    void set_searching(bool on);
    /** Reports an answer of a source that leaves the copy as current as the source's. */
    void report(feed_source const& source, store_batch const& batch);
    /** Takes in the reply to a question of a search. */
    void take_proof(feed_source const& source, feed_response const& reply, std::uint64_t number, int of_round);
    /** Asks the preferred source for proof, when it failed and its pause is over. */
    void ask_preferred();
};

// ---- State ----

feed_call state_feed::impl::state_call(feed_source const& source) const
{
    if (needs_read) {
        auto const limit = source.is_store() ? store_read_limit : peer_read_limit;
        return {source, feed_call_kind::read, next_page, {}, milliseconds(0), limit};
    }
    auto const wait = on_trial ? milliseconds(0) : source.is_store() ? store_wait : peer_wait;
    return {source, feed_call_kind::watch, "", position, wait, wait + watch_margin};
}

void state_feed::impl::step()
{
    if (calling) return;
    ask_preferred();
    auto const source = needs_read ? selector.choose_for_read(events.members()) : selector.choose(events.members());
    if (!source) {
        search();
        return;
    }
    auto const call = state_call(*source);
    calling = true;
    last_source = source;
    auto const number = ++call_number;
    watch_lateness(call, number);
    io.fetch(call, [this, number, from = *source](feed_response const& reply) {
        if (number != call_number) return;
        calling = false;
        take(from, reply);
    });
}

void state_feed::impl::watch_lateness(feed_call const& call, std::uint64_t number)
{
    // A full read takes a while on a small link; begun anew elsewhere, it would never end.
    if (call.kind == feed_call_kind::read) return;
    auto const patience = late_after * (1 << std::min(found_in_vain, most_late_doublings));
    auto const late_at = io.now() + call.wait + patience;
    io.run_at(std::min(late_at, std::max(io.now() + patience, vouched_at + search_age)), [this, number] {
        if (calling && number == call_number) search();
    });
}

void state_feed::impl::failed(feed_source const& source, char const* reason)
{
    selector.on_failed(source, io.now());
    events.on_source_failed(source, reason);
}

void state_feed::impl::confirmed(feed_source const& source, store_batch const& batch)
{
    vouched_at = io.now() - batch.age;
    auto const unheard = std::chrono::duration_cast<milliseconds>(io.now() - confirmed_at);
    // Before the last page, the copy is older than the sender's.
    if (batch.next_page_token.empty()) confirmed_at = std::max(confirmed_at, vouched_at);
    if (batch.age > search_age) {
        search(); // It is followed on meanwhile: nothing better is known.
        return;
    }
    found_in_vain = 0;
    events.on_current_response(source, is_synced ? unheard : milliseconds(0));
    selector.on_responded(source);
    on_trial = false;
    set_searching(false);
}

void state_feed::impl::take(feed_source const& source, feed_response const& reply)
{
    if (reply.status != feed_status::ok) {
        bool const gone = !needs_read && reply.status == feed_status::gone;
        if (gone)
            needs_read = true;
        else
            failed(source, reply.status == 0 ? reply.reason : "refused");
        next_page.clear();
        step();
        return;
    }
    auto const as_of = reply.batch.as_of;
    if (as_of.era < position.era || (as_of < position && !source.is_store())) {
        failed(source, "its copy is older");
        step();
        return;
    }
    bool const continues =
        needs_read ? next_page.empty() || as_of.era == first_position.era : as_of.era == position.era;
    if (!continues) {
        // The store came back from an older copy: no change says what it lost, and revisions name other changes.
        needs_read = true;
        next_page.clear();
        step();
        return;
    }
    confirmed(source, reply.batch);
    if (needs_read)
        take_page(source, reply.batch);
    else
        take_changes(source, reply.batch);
}

void state_feed::impl::take_page(feed_source const& source, store_batch const& batch)
{
    bool const first = next_page.empty();
    if (first) pages.clear();
    // Pages are no snapshot: changes made between them are found by watching from the first page on.
    if (first) first_position = batch.as_of;
    pages.insert(pages.end(), batch.items.begin(), batch.items.end());
    next_page = batch.next_page_token;
    if (next_page.empty()) {
        needs_read = false;
        is_synced = true;
        position = first_position;
        events.on_snapshot(pages, position);
        pages.clear();
        report(source, batch);
        if (source.is_store()) return step_after(settle_gap);
    }
    step();
}

void state_feed::impl::step_after(milliseconds wait)
{
    io.run_at(io.now() + wait, [this] { step(); });
}

void state_feed::impl::take_changes(feed_source const& source, store_batch const& batch)
{
    position = std::max(position, batch.as_of);
    if (!batch.items.empty()) events.on_changes(batch.items, position);
    report(source, batch);
    bool const pause = source.is_store() && !batch.items.empty();
    if (!pause) return step();
    step_after(store_gap);
}

// ---- Search ----

feed_call state_feed::impl::proof_call(feed_source const& source) const
{
    return {source, feed_call_kind::freshness, "", position, milliseconds(0), proof_limit};
}

char const* state_feed::impl::flaw(feed_response const& reply) const
{
    if (reply.status == 0) return reply.reason;
    if (reply.status == feed_status::gone) return nullptr; // The store answers; its history must be read anew.
    if (reply.status != feed_status::ok) return "refused";
    return reply.batch.as_of < position ? "its copy is older" : nullptr;
}

bool state_feed::impl::proves_more(milliseconds age) const
{
    if (age > max_fresh_age) return false;
    auto const own_age = io.now() - confirmed_at;
    return !is_synced || own_age < young || age + younger_by < own_age;
}

void state_feed::impl::set_searching(bool on)
{
    searching = on;
    // Until the source that was found has answered, this VM vouches for nothing.
    events.on_search_changed(on || on_trial);
}

void state_feed::impl::report(feed_source const& source, store_batch const& batch)
{
    auto path = batch.path;
    if (!source.is_store()) path.insert(path.begin(), source.peer_key);
    events.on_copy_confirmed(source, confirmed_at, path);
}

void state_feed::impl::search()
{
    if (searching) return;
    set_searching(true);
    ++search_number;
    round = 0;
    ask_round();
}

void state_feed::impl::ask_round()
{
    round_began = io.now();
    auto const targets = selector.search_targets(events.members(), round);
    unanswered = targets.size();
    auto const number = search_number;
    for (auto const& target : targets) {
        io.check_freshness(proof_call(target), [this, target, number, of_round = round](feed_response const& reply) {
            take_proof(target, reply, number, of_round);
        });
    }
    io.run_at(round_began + round_time, [this, number, of_round = round] { end_round(number, of_round); });
}

void state_feed::impl::end_round(std::uint64_t number, int ended)
{
    if (!searching || number != search_number || ended != round) return;
    ++round;
    milliseconds pause{0};
    if (round >= quick_search_rounds)
        pause = std::min(first_pause * (1 << std::min(round - quick_search_rounds, 8)), longest_pause);
    io.run_at(std::max(io.now() + pause, round_began + shortest_round), [this, number, begun = round] {
        if (searching && number == search_number && begun == round) ask_round();
    });
}

void state_feed::impl::take_proof(feed_source const& source, feed_response const& reply, std::uint64_t number,
                                  int of_round)
{
    auto const* reason = flaw(reply);
    if (reason != nullptr) failed(source, reason);
    bool const wanted = searching && number == search_number;
    // One whose copy is old has not failed: when the store is down for all, it is followed on and hears of its return.
    if (reason != nullptr || !proves_more(reply.batch.age)) {
        if (wanted && of_round == round && --unanswered == 0) end_round(number, of_round);
        return;
    }
    if (!wanted) return;
    if (calling && last_source == source) {
        set_searching(false); // Its answer is on the way: the source lives, and asked anew it would only begin again.
        return;
    }
    on_trial = true;
    ++found_in_vain;
    set_searching(false);
    selector.on_found(source);
    vouched_at = io.now() - reply.batch.age;
    if (last_source && last_source != source)
        failed(*last_source, calling ? "late" : "its copy was not confirmed lately");
    // A late call is given up. A reply of it that is on its way is not needed: this source knows as much.
    ++call_number;
    calling = false;
    next_page.clear();
    if (source.is_store() && !needs_read) {
        last_source = source;
        take(source, reply); // The store proves that it is current by its changes: there is nothing more to ask.
        return;
    }
    step();
}

void state_feed::impl::ask_preferred()
{
    if (proof_asked || searching) return;
    auto const source = selector.due_for_recheck(events.members(), io.now());
    if (!source) return;
    proof_asked = true;
    io.check_freshness(proof_call(*source), [this, from = *source](feed_response const& reply) {
        proof_asked = false;
        if (auto const* reason = flaw(reply))
            failed(from, reason);
        else if (reply.batch.age > max_fresh_age)
            failed(from, "its copy was not confirmed lately");
        else
            selector.on_responded(from);
    });
}

state_feed::state_feed(feed_selector selector, feed_io io, feed_events events)
    : m_impl(std::make_unique<impl>(std::move(selector), std::move(io), std::move(events)))
{
}

state_feed::~state_feed() = default;
void state_feed::start() { m_impl->step(); }
bool state_feed::synced() const { return m_impl->is_synced; }

} // namespace cornelspring
