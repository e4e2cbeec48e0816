/** @file store_position.cpp Conversion of positions in the store's history to and from text. */
#include <cornelspring/feed.hpp>

#include <charconv>

namespace cornelspring {

std::string store_position::to_string() const { return std::to_string(era.value()) + "." + std::to_string(revision); }

std::optional<store_position> parse_position(std::string_view text)
{
    std::int64_t era = 0;
    store_position found;
    auto const* const end = text.data() + text.size();
    auto const dot = std::from_chars(text.data(), end, era);
    if (dot.ec != std::errc() || dot.ptr == end || *dot.ptr != '.') return std::nullopt;
    auto const last = std::from_chars(dot.ptr + 1, end, found.revision);
    if (last.ec != std::errc()) return std::nullopt;
    found.era = store_era(era);
    return found;
}

} // namespace cornelspring
