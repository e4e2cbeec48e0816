/** @file rendezvous.cpp Rendezvous hashing. */
#include <cornelspring/base.hpp>

#include <algorithm>

namespace cornelspring {
namespace {

/** Start value of the hash. */
constexpr std::uint64_t hash_start = 14695981039346656037ULL;

/** @return @p hash extended by @p text (FNV-1a). */
std::uint64_t extend(std::uint64_t hash, std::string_view text)
{
    for (unsigned char const byte : text)
        hash = (hash ^ byte) * 1099511628211ULL;
    return hash;
}

/** @return @p hash after a final mix; the same in every process. */
std::uint64_t finish(std::uint64_t hash)
{
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
    auto const prefix = extend(extend(hash_start, subject), "\n");
    for (auto const& node : nodes)
        ranked.emplace_back(finish(extend(prefix, node)), node);
    auto const kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < kept; ++i)
        chosen.push_back(std::move(ranked[i].second));
    return chosen;
}

std::string const* rendezvous_first(std::string_view subject, std::set<std::string> const& nodes)
{
    auto const prefix = extend(extend(hash_start, subject), "\n");
    std::string const* first = nullptr;
    std::uint64_t lowest = 0;
    for (auto const& node : nodes) {
        auto const hash = finish(extend(prefix, node));
        if (first != nullptr && hash >= lowest) continue;
        first = &node;
        lowest = hash;
    }
    return first;
}

} // namespace cornelspring
