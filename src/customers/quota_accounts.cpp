/** @file quota_accounts.cpp Accounts of customers that this VM keeps for all VMs. */
#include <cornelspring/customers.hpp>

#include <algorithm>
#include <cmath>

namespace cornelspring {
namespace {

/** @return @p seconds, rounded up to milliseconds. */
std::chrono::milliseconds in_ms(double seconds)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

/** @return a hash of @p text that is the same in every process (FNV-1a, with a final mix). */
std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (unsigned char const byte : text)
        hash = (hash ^ byte) * 1099511628211ULL;
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
}

} // namespace

quota_verdict quota_accounts::charge(quota_report const& report, quota_limit const& limit, bool whole_window,
                                     time_point now)
{
    quota_verdict verdict{report.name, report.waiting, std::chrono::milliseconds(0)};
    if (limit.unlimited()) return verdict;
    auto const capacity = std::max(limit.burst, 1.0);
    auto const [found, is_new] = m_accounts.try_emplace(report.name.value());
    auto& bucket = found->second;
    if (is_new) {
        bucket.tokens = whole_window ? capacity : 1;
    } else {
        auto const elapsed_s = std::chrono::duration<double>(now - bucket.updated_at).count();
        // A limit that was lowered takes effect at once: tokens above the new burst are dropped.
        bucket.tokens = std::min(capacity, bucket.tokens + elapsed_s * limit.per_second);
    }
    bucket.updated_at = now;
    bucket.tokens -= report.used;
    verdict.granted = std::clamp(static_cast<int>(std::floor(bucket.tokens)), 0, report.waiting);
    bucket.tokens -= verdict.granted;
    bool const used_up = bucket.tokens < 0 || verdict.granted < report.waiting;
    if (used_up) verdict.blocked_for = in_ms((1 - bucket.tokens) / limit.per_second);
    return verdict;
}

void quota_accounts::drop_unless(std::function<bool(customer_name const&)> const& kept)
{
    std::erase_if(m_accounts, [&](auto const& each) { return !kept(customer_name(each.first)); });
}

void quota_accounts::drop_idle(clock::duration idle, time_point now)
{
    std::erase_if(m_accounts, [&](auto const& each) { return each.second.updated_at + idle < now; });
}

std::vector<std::string> account_keepers(customer_name const& name, std::set<std::string> const& vms, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(vms.size());
    for (auto const& vm : vms)
        ranked.emplace_back(stable_hash(name.value() + "\n" + vm), vm);
    auto const kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<std::string> keepers;
    for (std::size_t i = 0; i < kept; ++i)
        keepers.push_back(std::move(ranked[i].second));
    return keepers;
}

} // namespace cornelspring
