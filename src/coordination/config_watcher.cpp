/** @file config_watcher.cpp Keeps the entry node's configuration equal to the store's. */
#include <cornelspring/coordination.hpp>

namespace cornelspring {
namespace {

/** Longest time that a single watch call waits for a change. */
constexpr milliseconds watch_wait{3000};
/** The wait after a failure is random, between one and two retry delays, in this many steps. */
constexpr int jitter_steps = 64;

} // namespace

config_watcher::config_watcher(store_client& store, config_view& view, milliseconds retry_delay)
    : m_store(store), m_view(view), m_retry_delay(retry_delay)
{
}

config_watcher::~config_watcher() { stop(); }

void config_watcher::stop()
{
    if (m_stopping.exchange(true)) return;
    m_store.interrupt();
    if (m_thread.joinable()) m_thread.join();
}

void config_watcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void config_watcher::run()
{
    auto logger = get_logger("entry.config");
    std::minstd_rand random(std::random_device{}());
    bool need_full_read = true;
    std::int64_t after = 0;
    while (!m_stopping) {
        try {
            if (need_full_read) {
                auto const read = m_store.range_prefix(key_prefix);
                m_view.reset(read.kvs, read.revision, read.cluster);
                after = m_view.current()->revision;
                need_full_read = false;
                m_synced = true;
                LOG4CPLUS_INFO(logger, "configuration read in full at revision " << after);
                continue;
            }
            auto const batch = m_store.watch_prefix(key_prefix, after, watch_wait);
            if (batch.compacted) {
                need_full_read = true;
                continue;
            }
            if (batch.cluster != m_view.current()->cluster) {
                // The same revision stands for different changes in the restored store, and the watch does not report
                // which changes were lost.
                LOG4CPLUS_WARN(logger, "the store was restored from an older copy: local revision "
                                           << after << ", store revision " << batch.revision);
                need_full_read = true;
                continue;
            }
            // There are no other changes under the prefix up to the response's revision, so the next watch starts
            // there. If it started at the last change instead, writes outside this prefix would let the store compact
            // the start revision.
            std::int64_t last = std::max(after, batch.revision);
            for (auto const& event : batch.events)
                last = std::max(last, event.kv.mod_revision);
            if (m_view.apply(batch.events, last)) {
                LOG4CPLUS_INFO(logger, "configuration now at revision " << last);
            }
            after = last;
        } catch (error const& failure) {
            LOG4CPLUS_WARN(logger, "store call of the configuration watch failed: " << failure.what());
            // Once synced, the watch resumes from the last revision, so that after an outage the entry nodes do not all
            // read everything at the same time. The random wait keeps their watch calls apart, too.
            auto const until = clock::now() + m_retry_delay + m_retry_delay * (random() % jitter_steps) / jitter_steps;
            while (!m_stopping && clock::now() < until)
                std::this_thread::sleep_for(milliseconds(20));
        }
    }
}

} // namespace cornelspring
