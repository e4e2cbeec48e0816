/** @file membership.cpp Registration of the entry node under a lease that is renewed by heartbeat. */
#include <cornelspring/coordination.hpp>

namespace cornelspring {

membership::membership(store_client& store, member self, std::int64_t ttl_s)
    : m_store(store), m_self(std::move(self)), m_ttl_s(ttl_s)
{
}

membership::~membership() { leave(); }

void membership::start()
{
    m_thread = std::thread([this] { run(); });
}

void membership::leave()
{
    if (m_stopping.exchange(true)) return;
    if (m_thread.joinable()) m_thread.join();
    if (m_lease.id == 0) return;
    try {
        m_store.revoke(m_lease.id);
    } catch (error const& failure) {
        LOG4CPLUS_WARN(get_logger("entry.membership"), "cannot revoke the membership lease: " << failure.what());
    }
    m_lease = {};
}

void membership::register_self()
{
    if (m_lease.id == 0) m_lease = m_store.grant_lease(m_ttl_s);
    nlohmann::json const body{{"address", m_self.address}, {"failure_domain", m_self.failure_domain}};
    m_store.put(std::string(member_prefix) + m_self.id, body.dump(), m_lease.id);
    m_registered = true;
    LOG4CPLUS_INFO(get_logger("entry.membership"), "registered as " << m_self.id << " under lease " << m_lease.id);
}

void membership::run()
{
    // Three heartbeats per time to live, so that the lease does not expire when two in a row are lost.
    auto const heartbeat_period = std::chrono::duration_cast<milliseconds>(std::chrono::seconds(m_ttl_s)) / 3;
    auto next_heartbeat = clock::now();
    while (!m_stopping) {
        if (clock::now() >= next_heartbeat) {
            try {
                if (!m_registered) {
                    register_self();
                } else if (m_store.keep_alive(m_lease.id) != m_lease.cluster) {
                    // The store was restored from an older copy: it may lack the key, or may have given the lease's id
                    // to another client.
                    m_lease = {};
                    register_self();
                }
            } catch (error const& failure) {
                LOG4CPLUS_WARN(get_logger("entry.membership"),
                               "registration or lease renewal failed: " << failure.what());
                if (failure.kind() == error_kind::not_found) {
                    m_lease = {};
                    m_registered = false;
                }
            }
            next_heartbeat = clock::now() + heartbeat_period;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

} // namespace cornelspring
