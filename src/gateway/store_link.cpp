/** @file store_link.cpp A current copy of the platform's store, and this VM's registration in it. */
#include <cornelspring/gateway.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Longest wait for the answer of a plain call; the store answers in milliseconds when it is well. */
constexpr milliseconds call_limit{1000};
/** How long a watch waits at the store. TCP keep-alive finds a dead connection sooner; this bounds what it misses. */
constexpr milliseconds watch_wait{10000};
/** Time a watch may be late before it counts as lost. */
constexpr milliseconds watch_margin{1500};
/** Shortest time between two watches, so that changes in quick succession are fetched together: each call is priced. */
constexpr milliseconds watch_gap{150};
/** First wait after a failed call; doubles up to the longest. */
constexpr milliseconds backoff_first{100};
/** Longest wait after a failed call: a store that returns is noticed within it. */
constexpr milliseconds backoff_longest{800};
/** Renewals of the registration in each time to live. */
constexpr int renewals_per_ttl = 3;
/** Status of an unknown lease. */
constexpr int status_not_found = 404;

/** @return whether @p result is a success. */
bool succeeded(exchange_result const& result) { return result.answered && result.response.status == 200; }

} // namespace

/** State of the link. */
struct store_link::impl {
    /** A connection to the store with its call, if any. */
    struct channel {
        std::unique_ptr<client_connection> connection; ///< Connection.
        timer_id limit;                                ///< Ends a call without an answer.
        std::uint64_t call = 0;                        ///< Number of the present call.
    };
    event_loop& loop;           ///< Event loop.
    endpoint store;             ///< Address.
    store_codec const& codec;   ///< Translation.
    store_events events;        ///< Receiver.
    channel watching;           ///< Reads and watches.
    channel calling;            ///< Registration.
    bool is_synced = false;     ///< First read complete.
    bool up = false;            ///< The last call of `watching` succeeded.
    time_point lost_at;         ///< When calls began to fail.
    std::int64_t position = 0;  ///< Revision up to which changes are known.
    milliseconds backoff{0};    ///< Present wait after failures.
    std::string member_key;     ///< Registration: key.
    std::string member_value;   ///< Registration: value.
    milliseconds member_ttl{0}; ///< Registration: time to live.
    std::int64_t lease = 0;     ///< Lease of the registration, or 0.
    bool registered = false;    ///< The key was written under the lease.
    bool leaving = false;       ///< unregister() was called.
    timer_id member_timer;      ///< Next step of the registration.

    void call(channel& on, http_request const& request, milliseconds limit, std::function<void(exchange_result)> done);
    void read_page(std::string after, std::int64_t first_revision);
    void watch();
    void failed();
    void succeeded_now();
    void retry(std::function<void()> step);
    void member_step();
    void member_later(milliseconds wait);
};

void store_link::impl::call(channel& on, http_request const& request, milliseconds limit,
                            std::function<void(exchange_result)> done)
{
    if (!on.connection || !on.connection->reusable()) {
        stream_options options;
        options.keep_alive = true;
        on.connection = std::make_unique<client_connection>(loop, store, options, message_limits{});
    }
    auto const number = ++on.call;
    auto bytes_request = request;
    bytes_request.headers.insert(bytes_request.headers.begin(), {"host", store.to_string()});
    auto finish = [this, &on, number, done = std::move(done)](exchange_result result) {
        if (on.call != number) return;
        ++on.call;
        loop.cancel(on.limit);
        // Deferred: the next step may replace the connection that is reporting.
        loop.run_at(loop.now(), [result = std::move(result), done] { done(result); });
    };
    on.limit = loop.run_at(loop.now() + limit, [&on, finish] {
        on.connection.reset(); // A connection on which an answer is lost returns nothing further.
        finish({false, true, {}, "no answer in time"});
    });
    client_connection::exchange exchange;
    exchange.bytes = serialize(bytes_request);
    exchange.matches = [](http_response const&) { return client_connection::match::mine; };
    exchange.done = finish;
    on.connection->start(std::move(exchange));
}

void store_link::impl::failed()
{
    backoff = std::clamp(backoff * 2, backoff_first, backoff_longest);
    if (!up) return;
    up = false;
    lost_at = loop.now();
    events.on_lost();
}

void store_link::impl::succeeded_now()
{
    backoff = milliseconds(0);
    if (up) return;
    up = true;
    events.on_back(is_synced ? std::chrono::duration_cast<milliseconds>(loop.now() - lost_at) : milliseconds(0));
}

void store_link::impl::retry(std::function<void()> step) { loop.run_at(loop.now() + backoff, std::move(step)); }

void store_link::impl::read_page(std::string after, std::int64_t first_revision)
{
    call(watching, codec.read("", after), call_limit, [this, after, first_revision](exchange_result const& result) {
        if (!succeeded(result)) {
            failed();
            retry([this] { read_page("", 0); });
            return;
        }
        succeeded_now();
        auto const batch = codec.parse_batch(result.response);
        // Pages are no snapshot: changes made between them are found by watching from the first page on.
        auto const from = after.empty() ? batch.as_of : first_revision;
        bool const last = !batch.more || batch.items.empty();
        events.on_batch(batch, last);
        if (!last) {
            read_page(batch.items.back().key, from);
            return;
        }
        is_synced = true;
        position = from;
        watch();
    });
}

void store_link::impl::watch()
{
    call(watching, codec.watch("", position, watch_wait), watch_wait + watch_margin,
         [this](exchange_result const& result) {
             if (!result.answered || (result.response.status != 200 && result.response.status != 410)) {
                 failed();
                 retry([this] { watch(); });
                 return;
             }
             succeeded_now();
             auto batch = codec.parse_batch(result.response);
             if (batch.history_gone) {
                 read_page("", 0);
                 return;
             }
             position = std::max(position, batch.as_of);
             if (!batch.items.empty()) events.on_batch(batch, false);
             loop.run_at(loop.now() + (batch.items.empty() ? milliseconds(0) : watch_gap), [this] { watch(); });
         });
}

void store_link::impl::member_later(milliseconds wait)
{
    loop.cancel(member_timer);
    member_timer = loop.run_at(loop.now() + wait, [this] { member_step(); });
}

void store_link::impl::member_step()
{
    if (leaving || member_key.empty()) return;
    if (lease == 0) {
        call(calling, codec.grant(member_ttl), call_limit, [this](exchange_result const& result) {
            if (!succeeded(result)) return member_later(backoff_longest);
            lease = codec.parse_lease(result.response);
            member_step();
        });
        return;
    }
    if (!registered) {
        call(calling, codec.write({{member_key, member_value, lease, std::nullopt}}), call_limit,
             [this](exchange_result const& result) {
                 if (succeeded(result)) {
                     registered = true;
                     return member_later(member_ttl / renewals_per_ttl);
                 }
                 if (result.answered && result.response.status == status_not_found) lease = 0;
                 member_later(backoff_first);
             });
        return;
    }
    call(calling, codec.renew(lease), call_limit, [this](exchange_result const& result) {
        if (result.answered && result.response.status == status_not_found) {
            lease = 0;
            registered = false;
            return member_step();
        }
        member_later(succeeded(result) ? member_ttl / renewals_per_ttl : backoff_first * 2);
    });
}

store_link::store_link(event_loop& loop, endpoint store, store_codec const& codec, store_events events)
    : m_impl(new impl{loop,
                      std::move(store),
                      codec,
                      std::move(events),
                      {},
                      {},
                      false,
                      false,
                      {},
                      0,
                      {},
                      {},
                      {},
                      {},
                      0,
                      false,
                      false,
                      {}})
{
    m_impl->lost_at = loop.now();
}

store_link::~store_link() = default;

void store_link::start() { m_impl->read_page("", 0); }

void store_link::register_as(std::string key, std::string value, milliseconds ttl)
{
    m_impl->member_key = std::move(key);
    m_impl->member_value = std::move(value);
    m_impl->member_ttl = ttl;
    m_impl->member_step();
}

void store_link::registration_lost()
{
    if (!m_impl->registered || m_impl->leaving) return;
    m_impl->registered = false;
    m_impl->lease = 0; // It may have been revoked together with the key.
    m_impl->member_later(backoff_first);
}

void store_link::unregister()
{
    auto& state = *m_impl;
    state.leaving = true;
    state.loop.cancel(state.member_timer);
    if (state.lease == 0) return;
    state.calling.connection.reset();
    state.call(state.calling, state.codec.end_lease(state.lease), call_limit, [](exchange_result const&) {});
}

bool store_link::synced() const { return m_impl->is_synced; }

} // namespace cornelspring
