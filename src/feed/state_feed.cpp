/** @file state_feed.cpp Keeps the local copy of the store current, from the store or from a peer gateway. */
#include <cornelspring/feed.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Time-out for a page from the store, which normally responds within milliseconds. */
constexpr milliseconds store_read_timeout{1200};
/** How long a gateway that reads from a peer gateway waits for it to start and get a copy itself, before it reads
 *  elsewhere. A leader needs about a second for a fleet of 985 VMs and 9,500 backend servers. */
constexpr milliseconds max_read_wait{2000};
/** A call that fails after this time got no answer: its receiver is down or cut off, and is not starting. */
constexpr milliseconds min_no_answer_time{700};
/** Pause before a peer gateway is asked for a full read again. */
constexpr milliseconds read_retry_pause{200};
/** Time-out for a page from a peer gateway: a page takes 30 ms on the link of a small VM, more while it is busy. */
constexpr milliseconds peer_read_timeout{1500};
/**
 * How long a watch waits at the store. A watch in flight while the store drops its history may receive no later
 * changes: with a wait of 10 s, a configuration was once missed for all of that time. This is half of the shortest time
 * in which a configuration must be in force; the other half is for reading it and passing it on.
 */
constexpr milliseconds store_watch_wait{1500};
/** How long a watch waits at a peer gateway: short, since it costs little and soon shows that a gateway is
 * unresponsive. */
constexpr milliseconds peer_watch_wait{800};
/** Time beyond its wait after which a watch times out. */
constexpr milliseconds watch_margin{900};
/** Time a call may be late before a search starts alongside it: two round trips between regions, and the scheduling
 * delay of a process on a tenth of a core. It doubles with each source that was found and then did not respond: the
 * response may just be large (a configuration with hundreds of additional routes), and if the call were canceled and
 * repeated each time, the response would never arrive. */
constexpr milliseconds late_call_delay{250};
/** Most doublings of that time. */
constexpr int max_late_doublings = 2;
/** Duration of a search round: most gateways that work have responded by then. */
constexpr milliseconds round_duration{300};
/** Time-out of a freshness check. It is longer than a round, since the store may be slow and regions far apart; a
 * response counts even when the next round has started. */
constexpr milliseconds freshness_timeout{1200};
/** A source whose copy was not confirmed for this long makes this VM search: the store responds to a watch each 1.5 s.
 */
constexpr milliseconds max_confirmed_age{2000};
/** A source found by a search must have a copy younger than the local one by at least this much. Gateways that lost the
 * same source have copies of the same age, apart from the time a response takes, and cannot help each other. */
constexpr milliseconds min_age_difference{200};
/** If the local copy is younger than this, a source need not have a younger one. */
constexpr milliseconds recent_age{600};
/** First pause between rounds, after the quick ones; it doubles up to the longest. */
constexpr milliseconds first_round_pause{100};
/** Longest pause between rounds: a store that is reachable again is detected within it. */
constexpr milliseconds max_round_pause{400};
/** Shortest duration of a round, so that immediate rejections do not cause many checks at once. */
constexpr milliseconds min_round_duration{50};
/** Pause after changes from the store before the next watch, so that changes in quick succession are fetched together.
 */
constexpr milliseconds store_change_pause{250};
/** Time from a full read of the store to the first watch. When all VMs start at once, they register within half a
 * second. After this delay one watch returns all of the registrations, and the VM can follow another gateway from then
 * on instead of reading the store again. */
constexpr milliseconds first_watch_delay{400};

} // namespace

/** State of the feed. */
struct state_feed::impl {
    feed_selector selector;                 ///< Choice of the source.
    feed_io io;                             ///< Outside calls.
    feed_events events;                     ///< Hooks.
    bool members_known = false;             ///< The gateways of this failure domain were read, or cannot be.
    time_point first_read_attempt;          ///< First failed read since a peer gateway last responded; epoch: none.
    bool is_synced = false;                 ///< A full read is complete.
    bool needs_read = true;                 ///< A full read must be made.
    store_position position;                ///< Position of the local copy.
    time_point confirmed_at;                ///< When the local copy was last known to equal the store.
    time_point source_confirmed_at;         ///< The same for the current source's copy, as the source stated.
    bool call_in_flight = false;            ///< A read or a watch is in flight.
    time_point call_started_at;             ///< When it started.
    std::optional<feed_source> last_source; ///< Source of the last read or watch.
    std::uint64_t call_number = 0;          ///< Identifies responses to canceled calls.
    std::vector<store_item> pages;          ///< Items of the full read in progress.
    std::string next_page;                  ///< Token of its next page; empty: the first.
    store_position first_position;          ///< Position of its first page.
    bool searching = false;                 ///< A search is in progress.
    std::uint64_t search_number = 0;        ///< Identifies responses of earlier searches.
    int round = 0;                          ///< Round of the search.
    std::size_t pending_checks = 0;         ///< Checks of the round without a response.
    time_point round_started_at;            ///< When the round started.
    bool recheck_in_flight = false;         ///< A freshness check of the preferred source is in flight.
    bool awaiting_first_response = false;   ///< A search found the source; it has not responded to a call yet.
    int sources_without_response = 0;       ///< Sources found by searches since one last responded to a call.

    impl(feed_selector s, feed_io i, feed_events e) : selector(std::move(s)), io(std::move(i)), events(std::move(e)) {}

    /** Makes the next read or watch, or searches for a source. */
    void start_next_call();
    /** @return the source of the next read or watch, or nothing when a search must find one. */
    std::optional<feed_source> next_source();
    /** Makes the next call after @p wait. */
    void schedule_next_call(milliseconds wait);
    /** @return the next read or watch for @p source. */
    feed_call state_call(feed_source const& source) const;
    /** Schedules a search in case the call is late, or the source's copy becomes too old during it. */
    void schedule_late_check(feed_call const& call, std::uint64_t number);
    /** Handles the response to a read of the members. */
    void handle_members(feed_source const& source, feed_response const& response);
    /** @return whether a peer gateway that cannot be read from yet is asked again, as it may be starting too. */
    bool retry_read(feed_source const& source);
    /** Handles the response to a read or a watch. */
    void handle_response(feed_source const& source, feed_response const& response);
    /** Handles a page of a full read. */
    void handle_page(feed_source const& source, store_batch const& batch);
    /** Handles changes. */
    void handle_changes(feed_source const& source, store_batch const& batch);
    /** Updates the time at which the local copy is confirmed, from the age in a response. */
    void update_confirmed(feed_source const& source, store_batch const& batch);
    /** Reports that a source failed. */
    void report_failure(feed_source const& source, char const* reason);

    /** Starts a search for another source, if none is in progress. */
    void search();
    /** Starts a round: checks the freshness of its sources. */
    void start_round();
    /** Finishes a round and schedules the next one. */
    void finish_round(std::uint64_t number, int finished_round);
    /** @return the freshness check for @p source. */
    feed_call freshness_call(feed_source const& source) const;
    /** @return why the sender of @p response cannot be a source; null when it can. */
    char const* rejection_reason(feed_response const& response) const;
    /** @return whether a copy of that age shows that its holder receives changes which this VM may have missed. */
    bool is_usefully_fresh(milliseconds age) const;
    /** Sets whether a search is in progress. */
    void set_searching(bool on);
    /** Reports that a response was applied, after which the local copy is as current as the source's. */
    void report_confirmed(feed_source const& source, store_batch const& batch);
    /** Handles the response to a freshness check of a search. */
    void handle_freshness(feed_source const& source, feed_response const& response, std::uint64_t number, int of_round);
    /** Checks the freshness of the preferred source, if it failed and the check is due. */
    void recheck_preferred();
};

// ---- Reading and watching ----

feed_call state_feed::impl::state_call(feed_source const& source) const
{
    if (!members_known) return {source, feed_call_kind::members, next_page, {}, milliseconds(0), store_read_timeout};
    if (needs_read) {
        auto const timeout = source.is_store() ? store_read_timeout : peer_read_timeout;
        return {source, feed_call_kind::read, next_page, {}, milliseconds(0), timeout};
    }
    auto const wait = awaiting_first_response ? milliseconds(0)
                      : source.is_store()     ? store_watch_wait
                                              : peer_watch_wait;
    return {source, feed_call_kind::watch, "", position, wait, wait + watch_margin};
}

std::optional<feed_source> state_feed::impl::next_source()
{
    if (!members_known) return selector.store();
    if (!needs_read) return selector.choose(events.members());
    // A gateway that needs a full read later lost its place in the history, as its peers may have: it reads the store.
    return is_synced ? selector.choose_to_reread(events.members()) : selector.choose_for_read(events.members());
}

void state_feed::impl::start_next_call()
{
    if (call_in_flight) return;
    recheck_preferred();
    auto const source = next_source();
    if (!source) {
        search();
        return;
    }
    auto const call = state_call(*source);
    call_in_flight = true;
    call_started_at = io.now();
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
    // A full read takes a while on a slow link; if it were started again from another source, it would never finish.
    if (call.kind == feed_call_kind::read || call.kind == feed_call_kind::members) return;
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
    // Before the last page, the local copy is older than the sender's.
    if (batch.next_page_token.empty()) confirmed_at = std::max(confirmed_at, source_confirmed_at);
    if (batch.age > max_confirmed_age) {
        // The source is still used meanwhile: no better one is known. The age of a page of the first full read says
        // little; the first watch shows how current the source is.
        if (is_synced) search();
        return;
    }
    sources_without_response = 0;
    events.on_current_response(source, is_synced ? unconfirmed_for : milliseconds(0));
    selector.on_responded(source);
    awaiting_first_response = false;
    set_searching(false);
}

void state_feed::impl::handle_members(feed_source const& source, feed_response const& response)
{
    members_known = response.status != feed_status::ok || response.batch.next_page_token.empty();
    next_page = members_known ? std::string() : response.batch.next_page_token;
    if (response.status == feed_status::ok)
        events.on_members(response.batch.items);
    else
        report_failure(source, response.status == 0 ? response.reason : "refused");
    start_next_call();
}

bool state_feed::impl::retry_read(feed_source const& source)
{
    bool const no_answer = io.now() - call_started_at >= min_no_answer_time;
    if (!needs_read || source.is_store() || no_answer) return false;
    if (first_read_attempt == time_point{}) first_read_attempt = io.now();
    if (io.now() - first_read_attempt >= max_read_wait) {
        first_read_attempt = {};
        return false;
    }
    next_page.clear();
    schedule_next_call(read_retry_pause);
    return true;
}

void state_feed::impl::handle_response(feed_source const& source, feed_response const& response)
{
    if (!members_known) return handle_members(source, response);
    if (response.status != feed_status::ok) {
        if (retry_read(source)) return;
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
        // The store was restored from an older copy: no change lists what was lost, and the revisions were assigned
        // again to other changes.
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
    first_read_attempt = {};
    // Pages are not a snapshot: changes made between them are fetched by watching from the oldest page's position. That
    // is the first page, except at a peer gateway that sends pages which it made earlier for others.
    first_position = first ? batch.as_of : std::min(first_position, batch.as_of);
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
    schedule_next_call(store_change_pause);
}

// ---- Search ----

feed_call state_feed::impl::freshness_call(feed_source const& source) const
{
    return {source, feed_call_kind::freshness, "", position, milliseconds(0), freshness_timeout};
}

char const* state_feed::impl::rejection_reason(feed_response const& response) const
{
    if (response.status == 0) return response.reason;
    if (response.status == feed_status::gone) return nullptr; // The store works; a full read is needed.
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
    // Until the source that was found has responded to a call, this VM must not pass freshness checks.
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
    // A source whose copy is old has not failed: if the store is down for all, it stays in use, and receives changes
    // again when the store is back.
    if (reason != nullptr || !is_usefully_fresh(response.batch.age)) {
        if (is_current_search && of_round == round && --pending_checks == 0) finish_round(number, of_round);
        return;
    }
    if (!is_current_search) return;
    if (call_in_flight && last_source == source) {
        // The source works, and its response is on the way; a new call would only start over.
        set_searching(false);
        return;
    }
    awaiting_first_response = true;
    ++sources_without_response;
    set_searching(false);
    selector.on_found(source);
    source_confirmed_at = io.now() - response.batch.age;
    if (last_source && last_source != source)
        report_failure(*last_source, call_in_flight ? "late" : "its copy was not confirmed lately");
    // Cancels a late call. Its response is not needed any more: the new source is at least as current.
    ++call_number;
    call_in_flight = false;
    next_page.clear();
    if (source.is_store() && !needs_read) {
        last_source = source;
        // The store's response to a freshness check has the changes: no further call is needed.
        handle_response(source, response);
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
