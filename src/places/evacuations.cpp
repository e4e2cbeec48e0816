/** @file evacuations.cpp Evacuated failure domains, and the locality of this VM. */
#include <cornelspring/places.hpp>

namespace cornelspring {

proximity locality::proximity_to(domain_name const& other) const
{
    if (other == domain) return proximity::same_domain;
    return region_of(other) == region ? proximity::same_region : proximity::other_region;
}

region_name locality::region_of(domain_name const& of) const
{
    auto const found = regions.find(of);
    return found == regions.end() ? region_name() : found->second;
}

bool evacuations::stop(domain_name const& domain, time_point now)
{
    if (m_domains.erase(domain) == 0) return false;
    m_stopped[domain] = now;
    return true;
}

std::optional<time_point> evacuations::stopped_at(domain_name const& domain) const
{
    auto const found = m_stopped.find(domain);
    if (found == m_stopped.end()) return std::nullopt;
    return found->second;
}

} // namespace cornelspring
