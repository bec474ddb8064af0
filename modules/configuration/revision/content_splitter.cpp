#include "configuration/revision/content_splitter.h"

#include "foundation/errors/precondition.h"
#include "foundation/random/random_source.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

namespace quetzal {

namespace {

std::array<std::uint64_t, 256> makeGearTable()
{
    constexpr std::uint64_t seed = 0x71756574;
    random_source random(seed);
    std::array<std::uint64_t, 256> table {};
    for (std::uint64_t &value : table)
        value = random();
    return table;
}

std::size_t firstPartLength(std::string_view text, const part_sizes &sizes)
{
    /** The high bits of the hash depend on more of the preceding bytes than the low bits. */
    constexpr int maskShift = 40;
    static const std::array<std::uint64_t, 256> gear = makeGearTable();
    const std::uint64_t mask = std::uint64_t {sizes.boundaryIntervalBytes - 1} << maskShift;
    const std::size_t maxLength = std::min(text.size(), sizes.maxBytes);
    std::uint64_t hash = 0;
    for (std::size_t index = 0; index < maxLength; ++index) {
        hash = (hash << 1) + gear[static_cast<unsigned char>(text[index])];
        const std::size_t length = index + 1;
        if (length >= sizes.minBytes && (hash & mask) == 0)
            return length;
    }
    return maxLength;
}

} // namespace

std::vector<std::string_view> splitByContent(std::string_view text, const part_sizes &sizes)
{
    QUETZAL_PRECONDITION(sizes.maxBytes > 0 && std::has_single_bit(sizes.boundaryIntervalBytes));
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        parts.push_back(text.substr(0, firstPartLength(text, sizes)));
        text.remove_prefix(parts.back().size());
    }
    return parts;
}

} // namespace quetzal
