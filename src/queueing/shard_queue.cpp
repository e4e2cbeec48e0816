/** @file shard_queue.cpp Waiting shards of one service. */
#include <cornelspring/queueing.hpp>

#include <algorithm>

namespace cornelspring {

void shard_queue::push(shard_waiter waiter, queue_order order)
{
    // In the order of arrival, all waiters are in one group and have the same due time.
    bool const fair = order == queue_order::fair;
    auto const group = fair ? waiter.customer.value() : std::string();
    auto const due = fair ? waiter.goal_at : time_point{};
    m_levels[waiter.priority][group].emplace(due, std::move(waiter));
    m_next_level.reset();
    ++m_size;
}

shard_queue::level::iterator shard_queue::choose_customer(level& from) const
{
    auto const last_served = [this](std::string const& customer) {
        auto const found = m_last_served.find(customer);
        return found == m_last_served.end() ? 0 : found->second;
    };
    return std::min_element(from.begin(), from.end(), [&](auto const& left, auto const& right) {
        auto const served_left = last_served(left.first);
        auto const served_right = last_served(right.first);
        // Customers that were not served yet go by the due time of their first waiter.
        if (served_left != served_right) return served_left < served_right;
        return left.second.begin()->first < right.second.begin()->first;
    });
}

shard_waiter const* shard_queue::next()
{
    if (m_size == 0) return nullptr;
    if (!m_next_level) {
        m_next_level = m_levels.begin();
        m_next = choose_customer(m_levels.begin()->second);
    }
    return &m_next->second.begin()->second;
}

void shard_queue::pop(bool served)
{
    if (next() == nullptr) return;
    auto& customers = (*m_next_level)->second;
    if (served) m_last_served[m_next->first] = ++m_served;
    m_next->second.erase(m_next->second.begin());
    if (m_next->second.empty()) customers.erase(m_next);
    if (customers.empty()) m_levels.erase(*m_next_level);
    m_next_level.reset();
    // Without waiters nobody has waited for longer than others.
    if (--m_size == 0) m_last_served.clear();
}

} // namespace cornelspring
