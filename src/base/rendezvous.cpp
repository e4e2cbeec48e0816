/** @file rendezvous.cpp Rendezvous hashing. */
#include <cornelspring/base.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

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

std::vector<std::string> rendezvous_order(std::string_view subject, std::set<std::string> const& nodes,
                                          std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size());
    for (auto const& node : nodes)
        ranked.emplace_back(stable_hash(std::string(subject) + "\n" + node), node);
    auto const kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < kept; ++i)
        chosen.push_back(std::move(ranked[i].second));
    return chosen;
}

} // namespace cornelspring
