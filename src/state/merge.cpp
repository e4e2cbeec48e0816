/** @file merge.cpp Merges the hits of many shards into one ranked list. */
#include <cornelspring/state.hpp>

#include <algorithm>
#include <set>

namespace cornelspring {

std::vector<hit> merge_top_k(std::vector<std::vector<hit>> const& lists, std::size_t k)
{
    std::vector<hit> all;
    for (auto const& list : lists)
        all.insert(all.end(), list.begin(), list.end());
    std::sort(all.begin(), all.end(),
              [](hit const& a, hit const& b) { return a.score != b.score ? a.score > b.score : a.doc < b.doc; });
    std::vector<hit> merged;
    std::set<std::uint64_t> seen;
    for (auto& item : all) {
        if (merged.size() == k) break;
        if (seen.insert(item.doc).second) merged.push_back(std::move(item));
    }
    return merged;
}

} // namespace cornelspring
