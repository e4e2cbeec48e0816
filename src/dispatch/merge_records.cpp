/** @file merge_records.cpp Merges the responses of many shards into their greatest records. */
#include <cornelspring/dispatch.hpp>

#include <algorithm>

namespace cornelspring {

std::string merge_records(std::vector<std::string_view> const& bodies, std::size_t top_k)
{
    std::vector<std::string_view> records;
    for (auto const body : bodies) {
        for (std::size_t at = 0; at + record_size <= body.size(); at += record_size) {
            records.push_back(body.substr(at, record_size));
        }
    }
    auto const kept = std::min(top_k, records.size());
    // std::string_view compares bytes as unsigned char.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>());
    std::string merged;
    merged.reserve(kept * record_size);
    for (std::size_t i = 0; i < kept; ++i)
        merged.append(records[i]);
    return merged;
}

} // namespace cornelspring
