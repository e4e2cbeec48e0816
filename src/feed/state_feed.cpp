/** @file state_feed.cpp A current copy of the store, read from it or from another gateway. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for a page of the store, which answers in milliseconds when it is well. */
constexpr milliseconds store_read_timeout{1200};
/** Longest wait for a page from another gateway: 30 ms on the link of a small VM, more while it is busy. */
constexpr milliseconds peer_read_timeout{1500};
/**
 * How long a watch waits at the store. A watch that is under way while the store drops its history may hear nothing of
 * later changes: with 10 s it once missed a configuration for all of them. Half of the shortest time in which a
 * configuration must be in force leaves the other half for reading and passing it on.
 */
constexpr milliseconds store_watch_wait{1500};
/** How long a watch waits at another gateway: short, since it costs little and shows soon that the gateway hangs. */
constexpr milliseconds peer_watch_wait{800};
/** Time a watch may be late before it counts as lost. */
constexpr milliseconds watch_margin{900};
/** Time a call may be late before others are asked at the same time: two round trips between regions, and a process
 *  that waits for its turn on a tenth of a core. It doubles with each source found in vain: an answer may simply be
 * large (a configuration with hundreds of routes more), and one that is given up and asked for anew never arrives. */
constexpr milliseconds late_call_delay{250};
/** Most doublings of that time. */
constexpr int max_late_doublings = 2;
/** Length of a round of a search: most answers of gateways that are well have come then. */
constexpr milliseconds round_duration{300};
/** An answer to the question for proof counts so long, also when other sources are being asked already: the store may
 * be slow, and regions far apart. */
constexpr milliseconds freshness_timeout{1200};
/** A copy that was not confirmed for so long makes this VM ask others: a watch of the store is answered each 1.5 s. */
constexpr milliseconds max_confirmed_age{2000};
/** A copy proves that its holder hears of changes when it was confirmed later than this VM's by so much: neighbours
 * that have lost the same source hold copies of the same age, give or take the time an answer takes. */
constexpr milliseconds min_age_difference{200};
/** A copy this young needs no younger one: it says nothing against copies of about the same age. */
constexpr milliseconds recent_age{600};
/** First pause after these; doubles up to the longest. */
constexpr milliseconds first_round_pause{100};
/** Longest pause between rounds: a store that returns is noticed within it. */
constexpr milliseconds max_round_pause{400};
/** Shortest round, so that refusals do not lead to many questions at once. */
constexpr milliseconds min_round_duration{50};
/** Shortest time between two watches of the store, so that changes in quick succession are fetched together. */
constexpr milliseconds min_store_watch_interval{250};
/** Time from a full read of the store to the first watch. When all VMs start they register within half a second; a VM
 * that waits hears of all of them in one answer and follows one from then on, in place of reading the store again. */
constexpr milliseconds first_watch_delay{400};

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
    time_point source_confirmed_at;         ///< When the present source's copy was, by its own word.
    bool call_in_flight = false;            ///< The call for state is under way.
    std::optional<feed_source> last_source; ///< Where the last call for state went.
    std::uint64_t call_number = 0;          ///< Tells replies to abandoned calls apart.
    std::vector<store_item> pages;          ///< Items of the full read under way.
    std::string next_page;                  ///< Where its next page begins; empty: the first.
    store_position first_position;          ///< Position of its first page.
    bool searching = false;                 ///< A search is under way.
    std::uint64_t search_number = 0;        ///< Tells replies of earlier searches apart.
    int round = 0;                          ///< Round of the search.
    std::size_t pending_checks = 0;         ///< Questions of the round without a reply.
    time_point round_started_at;            ///< When the round began.
    bool recheck_in_flight = false;         ///< The preferred source is being asked for proof.
    bool awaiting_first_response = false;   ///< A search found the source, and it has not answered yet.
    int sources_without_response = 0;       ///< Sources found since one has answered.

    impl(feed_selector s, feed_io i, feed_events e) : selector(std::move(s)), io(std::move(i)), events(std::move(e)) {}

    /** Makes the next call for state, or searches a source for it. */
    void start_next_call();
    /** Makes the next call after a wait. */
    void schedule_next_call(milliseconds wait);
    /** @return the call for state to @p source. */
    feed_call state_call(feed_source const& source) const;
    /** Asks others when the call is late, or the source's copy has become old meanwhile. */
    void schedule_late_check(feed_call const& call, std::uint64_t number);
    /** Takes in the reply of a call for state. */
    void handle_response(feed_source const& source, feed_response const& response);
    /** Takes in a page of a full read. */
    void handle_page(feed_source const& source, store_batch const& batch);
    /** Takes in changes. */
    void handle_changes(feed_source const& source, store_batch const& batch);
    /** Notes what a source's answer says of the age of the copy. */
    void update_confirmed(feed_source const& source, store_batch const& batch);
    /** Notes that a source failed. */
    void report_failure(feed_source const& source, char const* reason);

    /** Begins to search another source, if no search is under way. */
    void search();
    /** Asks the sources of a round. */
    void start_round();
    /** Ends a round; the next one follows. */
    void finish_round(std::uint64_t number, int finished_round);
    /** @return the question for proof to @p source. */
    feed_call freshness_call(feed_source const& source) const;
    /** @return why @p reply does not prove that its sender is current; null: it does. */
    char const* rejection_reason(feed_response const& response) const;
    /** @return whether a copy of that age proves that its holder hears of changes which this VM may have missed. */
    bool is_usefully_fresh(milliseconds age) const;
    /** Begins or ends a search. */
    void set_searching(bool on);
    /** Reports an answer of a source that leaves the copy as current as the source's. */
    void report_confirmed(feed_source const& source, store_batch const& batch);
    /** Takes in the reply to a question of a search. */
    void handle_freshness(feed_source const& source, feed_response const& response, std::uint64_t number, int of_round);
    /** Asks the preferred source for proof, when it failed and its pause is over. */
    void recheck_preferred();
};

// ---- State ----

feed_call state_feed::impl::state_call(feed_source const& source) const
{
    if (needs_read) {
        auto const timeout = source.is_store() ? store_read_timeout : peer_read_timeout;
        return {source, feed_call_kind::read, next_page, {}, milliseconds(0), timeout};
    }
    auto const wait = awaiting_first_response ? milliseconds(0)
                      : source.is_store()     ? store_watch_wait
                                              : peer_watch_wait;
    return {source, feed_call_kind::watch, "", position, wait, wait + watch_margin};
}

void state_feed::impl::start_next_call()
{
    if (call_in_flight) return;
    recheck_preferred();
    auto const source = needs_read ? selector.choose_for_read(events.members()) : selector.choose(events.members());
    if (!source) {
        search();
        return;
    }
    auto const call = state_call(*source);
    call_in_flight = true;
    last_source = source;
    auto const number = ++call_number;
    schedule_late_check(call, number);
    io.fetch(call, [this, number, from = *source](feed_response const& response) {
        if (number != call_number) return;
        call_in_flight = false;
        handle_response(from, response);
    });
}

void state_feed::impl::schedule_late_check(feed_call const& call, std::uint64_t number)
{
    // A full read takes a while on a small link; begun anew elsewhere, it would never end.
    if (call.kind == feed_call_kind::read) return;
    auto const allowed_delay = late_call_delay * (1 << std::min(sources_without_response, max_late_doublings));
    auto const late_at = io.now() + call.wait + allowed_delay;
    io.run_at(std::min(late_at, std::max(io.now() + allowed_delay, source_confirmed_at + max_confirmed_age)),
              [this, number] {
                  if (call_in_flight && number == call_number) search();
              });
}

void state_feed::impl::report_failure(feed_source const& source, char const* reason)
{
    selector.on_failed(source, io.now());
    events.on_source_failed(source, reason);
}

void state_feed::impl::update_confirmed(feed_source const& source, store_batch const& batch)
{
    source_confirmed_at = io.now() - batch.age;
    auto const unconfirmed_for = std::chrono::duration_cast<milliseconds>(io.now() - confirmed_at);
    // Before the last page, the copy is older than the sender's.
    if (batch.next_page_token.empty()) confirmed_at = std::max(confirmed_at, source_confirmed_at);
    if (batch.age > max_confirmed_age) {
        search(); // It is followed on meanwhile: nothing better is known.
        return;
    }
    sources_without_response = 0;
    events.on_current_response(source, is_synced ? unconfirmed_for : milliseconds(0));
    selector.on_responded(source);
    awaiting_first_response = false;
    set_searching(false);
}

void state_feed::impl::handle_response(feed_source const& source, feed_response const& response)
{
    if (response.status != feed_status::ok) {
        bool const gone = !needs_read && response.status == feed_status::gone;
        if (gone)
            needs_read = true;
        else
            report_failure(source, response.status == 0 ? response.reason : "refused");
        next_page.clear();
        start_next_call();
        return;
    }
    auto const as_of = response.batch.as_of;
    if (as_of.era < position.era || (as_of < position && !source.is_store())) {
        report_failure(source, "its copy is older");
        start_next_call();
        return;
    }
    bool const continues =
        needs_read ? next_page.empty() || as_of.era == first_position.era : as_of.era == position.era;
    if (!continues) {
        // The store came back from an older copy: no change says what it lost, and revisions name other changes.
        needs_read = true;
        next_page.clear();
        start_next_call();
        return;
    }
    update_confirmed(source, response.batch);
    if (needs_read)
        handle_page(source, response.batch);
    else
        handle_changes(source, response.batch);
}

void state_feed::impl::handle_page(feed_source const& source, store_batch const& batch)
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
        report_confirmed(source, batch);
        if (source.is_store()) return schedule_next_call(first_watch_delay);
    }
    start_next_call();
}

void state_feed::impl::schedule_next_call(milliseconds wait)
{
    io.run_at(io.now() + wait, [this] { start_next_call(); });
}

void state_feed::impl::handle_changes(feed_source const& source, store_batch const& batch)
{
    position = std::max(position, batch.as_of);
    if (!batch.items.empty()) events.on_changes(batch.items, position);
    report_confirmed(source, batch);
    bool const pause = source.is_store() && !batch.items.empty();
    if (!pause) return start_next_call();
    schedule_next_call(min_store_watch_interval);
}

// ---- Search ----

feed_call state_feed::impl::freshness_call(feed_source const& source) const
{
    return {source, feed_call_kind::freshness, "", position, milliseconds(0), freshness_timeout};
}

char const* state_feed::impl::rejection_reason(feed_response const& response) const
{
    if (response.status == 0) return response.reason;
    if (response.status == feed_status::gone) return nullptr; // The store answers; its history must be read anew.
    if (response.status != feed_status::ok) return "refused";
    return response.batch.as_of < position ? "its copy is older" : nullptr;
}

bool state_feed::impl::is_usefully_fresh(milliseconds age) const
{
    if (age > max_fresh_age) return false;
    auto const local_age = io.now() - confirmed_at;
    return !is_synced || local_age < recent_age || age + min_age_difference < local_age;
}

void state_feed::impl::set_searching(bool on)
{
    searching = on;
    // Until the source that was found has answered, this VM vouches for nothing.
    events.on_search_changed(on || awaiting_first_response);
}

void state_feed::impl::report_confirmed(feed_source const& source, store_batch const& batch)
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
    start_round();
}

void state_feed::impl::start_round()
{
    round_started_at = io.now();
    auto const targets = selector.search_targets(events.members(), round);
    pending_checks = targets.size();
    auto const number = search_number;
    for (auto const& target : targets) {
        io.check_freshness(freshness_call(target),
                           [this, target, number, of_round = round](feed_response const& response) {
                               handle_freshness(target, response, number, of_round);
                           });
    }
    io.run_at(round_started_at + round_duration, [this, number, of_round = round] { finish_round(number, of_round); });
}

void state_feed::impl::finish_round(std::uint64_t number, int finished_round)
{
    if (!searching || number != search_number || finished_round != round) return;
    ++round;
    milliseconds pause{0};
    if (round >= quick_search_rounds)
        pause = std::min(first_round_pause * (1 << std::min(round - quick_search_rounds, 8)), max_round_pause);
    io.run_at(std::max(io.now() + pause, round_started_at + min_round_duration), [this, number, started_round = round] {
        if (searching && number == search_number && started_round == round) start_round();
    });
}

void state_feed::impl::handle_freshness(feed_source const& source, feed_response const& response, std::uint64_t number,
                                        int of_round)
{
    auto const* reason = rejection_reason(response);
    if (reason != nullptr) report_failure(source, reason);
    bool const is_current_search = searching && number == search_number;
    // One whose copy is old has not failed: when the store is down for all, it is followed on and hears of its return.
    if (reason != nullptr || !is_usefully_fresh(response.batch.age)) {
        if (is_current_search && of_round == round && --pending_checks == 0) finish_round(number, of_round);
        return;
    }
    if (!is_current_search) return;
    if (call_in_flight && last_source == source) {
        set_searching(false); // Its answer is on the way: the source lives, and asked anew it would only begin again.
        return;
    }
    awaiting_first_response = true;
    ++sources_without_response;
    set_searching(false);
    selector.on_found(source);
    source_confirmed_at = io.now() - response.batch.age;
    if (last_source && last_source != source)
        report_failure(*last_source, call_in_flight ? "late" : "its copy was not confirmed lately");
    // A late call is given up. A reply of it that is on its way is not needed: this source knows as much.
    ++call_number;
    call_in_flight = false;
    next_page.clear();
    if (source.is_store() && !needs_read) {
        last_source = source;
        handle_response(source,
                        response); // The store proves that it is current by its changes: there is nothing more to ask.
        return;
    }
    start_next_call();
}

void state_feed::impl::recheck_preferred()
{
    if (recheck_in_flight || searching) return;
    auto const source = selector.due_for_recheck(events.members(), io.now());
    if (!source) return;
    recheck_in_flight = true;
    io.check_freshness(freshness_call(*source), [this, from = *source](feed_response const& response) {
        recheck_in_flight = false;
        if (auto const* reason = rejection_reason(response))
            report_failure(from, reason);
        else if (response.batch.age > max_fresh_age)
            report_failure(from, "its copy was not confirmed lately");
        else
            selector.on_responded(from);
    });
}

state_feed::state_feed(feed_selector selector, feed_io io, feed_events events)
    : m_impl(std::make_unique<impl>(std::move(selector), std::move(io), std::move(events)))
{
}

state_feed::~state_feed() = default;
void state_feed::start() { m_impl->start_next_call(); }
bool state_feed::synced() const { return m_impl->is_synced; }

} // namespace cornelspring
