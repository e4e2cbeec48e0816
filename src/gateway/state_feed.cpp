/** @file state_feed.cpp A current copy of the store, read from it or from another gateway. */
#include "store_channel.hpp"

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for a page of the store, which answers in milliseconds when it is well. */
constexpr milliseconds store_read_limit{1200};
/** Longest wait for everything from another gateway: some hundred kilobytes over the link of a small VM. */
constexpr milliseconds peer_read_limit{4000};
/**
 * How long a watch waits at the store. A watch that is under way while the store drops its history may hear nothing of
 * later changes: with 10 s it once missed a configuration for all of them. Half of the shortest time in which a
 * configuration must be in force leaves the other half for reading and passing it on.
 */
constexpr milliseconds store_wait{1500};
/** How long a watch waits at another gateway: short, since it costs little and shows soon that the gateway hangs. */
constexpr milliseconds peer_wait{1200};
/** Time a watch may be late before it counts as lost. */
constexpr milliseconds watch_margin{700};
/** Shortest time between two watches of the store, so that changes in quick succession are fetched together. */
constexpr milliseconds store_gap{250};
/** First wait after a failed call; doubles up to the longest. */
constexpr milliseconds backoff_first{100};
/** Longest wait after a failed call: a store that returns is noticed within it. */
constexpr milliseconds backoff_longest{800};
/** Status of a watch whose history is gone. */
constexpr int status_gone = 410;

} // namespace

/** State of the feed. */
struct state_feed::impl {
    event_loop& loop;              ///< Event loop.
    store_codec const& store;      ///< Store calls.
    store_codec const& peer;       ///< Calls to another gateway.
    feed_events events;            ///< Hooks.
    store_channel channel;         ///< Connection.
    bool is_synced = false;        ///< A full read is complete.
    std::int64_t position = 0;     ///< Revision up to which changes are known.
    milliseconds backoff{0};       ///< Wait after failures.
    std::vector<store_item> pages; ///< Items of the full read under way.

    /** @return the calls that @p source takes. */
    store_codec const& codec(feed_source const& source) const { return source.is_store() ? store : peer; }
    void read_page(feed_source const& source, std::string const& after, std::int64_t first_revision);
    void take_page(feed_source const& source, exchange_result const& result, bool first, std::int64_t first_revision);
    void read();
    void watch();
    void take_changes(feed_source const& source, exchange_result const& result);
    void failed(feed_source const& source, char const* reason, std::function<void()> again);
    void answered(feed_source const& source);
};

void state_feed::impl::failed(feed_source const& source, char const* reason, std::function<void()> again)
{
    events.on_failed(source, reason);
    backoff = std::clamp(backoff * 2, backoff_first, backoff_longest);
    // Another source may be tried at once; the same one only after a wait.
    bool const other = events.choose() != source;
    loop.run_at(loop.now() + (other ? milliseconds(0) : backoff), std::move(again));
}

void state_feed::impl::answered(feed_source const& source)
{
    backoff = milliseconds(0);
    events.on_answered(source);
}

void state_feed::impl::read()
{
    pages.clear();
    read_page(events.choose_for_read(), "", 0);
}

void state_feed::impl::read_page(feed_source const& source, std::string const& after, std::int64_t first_revision)
{
    channel.call(source.address, codec(source).read("", after), source.is_store() ? store_read_limit : peer_read_limit,
                 [this, source, first = after.empty(), first_revision](exchange_result const& result) {
                     take_page(source, result, first, first_revision);
                 });
}

void state_feed::impl::take_page(feed_source const& source, exchange_result const& result, bool first,
                                 std::int64_t first_revision)
{
    if (!result.answered || result.response.status != 200) {
        failed(source, result.answered ? "refused" : result.detail, [this] { read(); });
        return;
    }
    auto batch = codec(source).parse_batch(result.response);
    if (!source.is_store() && batch.as_of < position) {
        failed(source, "its copy is older", [this] { read(); });
        return;
    }
    answered(source);
    // Pages are no snapshot: changes made between them are found by watching from the first page on.
    auto const from = first ? batch.as_of : first_revision;
    std::string const last_key = batch.items.empty() ? std::string() : batch.items.back().key;
    std::move(batch.items.begin(), batch.items.end(), std::back_inserter(pages));
    if (batch.more && !last_key.empty()) {
        read_page(source, last_key, from);
        return;
    }
    is_synced = true;
    position = from;
    events.on_snapshot(pages, from);
    pages.clear();
    watch();
}

void state_feed::impl::watch()
{
    auto const source = events.choose();
    auto const wait = source.is_store() ? store_wait : peer_wait;
    channel.call(source.address, codec(source).watch("", position, wait), wait + watch_margin,
                 [this, source](exchange_result const& result) { take_changes(source, result); });
}

void state_feed::impl::take_changes(feed_source const& source, exchange_result const& result)
{
    if (!result.answered || (result.response.status != 200 && result.response.status != status_gone)) {
        failed(source, result.answered ? "refused" : result.detail, [this] { watch(); });
        return;
    }
    answered(source);
    if (result.response.status == status_gone) {
        read();
        return;
    }
    auto const batch = codec(source).parse_batch(result.response);
    position = std::max(position, batch.as_of);
    if (!batch.items.empty()) events.on_changes(batch.items, position);
    bool const pause = source.is_store() && !batch.items.empty();
    loop.run_at(loop.now() + (pause ? store_gap : milliseconds(0)), [this] { watch(); });
}

state_feed::state_feed(event_loop& loop, store_codec const& store, store_codec const& peer, feed_events events)
    : m_impl(new impl{loop, store, peer, std::move(events), store_channel(loop), false, 0, milliseconds(0), {}})
{
}

state_feed::~state_feed() = default;
void state_feed::start() { m_impl->read(); }
bool state_feed::synced() const { return m_impl->is_synced; }

} // namespace cornelspring
