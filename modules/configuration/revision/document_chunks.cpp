#include "configuration/revision/document_chunks.h"

#include "foundation/hashing/stable_hash.h"
#include "foundation/random/random_source.h"

#include <array>
#include <cstdint>

namespace quetzal {

namespace {

constexpr std::size_t smallestChunkBytes = 64 * 1024;
/** A boundary follows a byte whose hash has none of these bits: one in 64 KiB on average. */
constexpr std::uint64_t boundaryMask = 0xffffULL << 40;

std::array<std::uint64_t, 256> makeGearTable()
{
    constexpr std::uint64_t seed = 0x71756574;
    random_source random(seed);
    std::array<std::uint64_t, 256> table {};
    for (std::uint64_t &value : table)
        value = random();
    return table;
}

std::size_t firstChunkLength(std::string_view text)
{
    static const std::array<std::uint64_t, 256> gear = makeGearTable();
    const std::size_t most = std::min(text.size(), largestChunkBytes);
    std::uint64_t hash = 0;
    for (std::size_t index = 0; index < most; ++index) {
        hash = (hash << 1) + gear[static_cast<unsigned char>(text[index])];
        const std::size_t length = index + 1;
        if (length >= smallestChunkBytes && (hash & boundaryMask) == 0)
            return length;
    }
    return most;
}

} // namespace

std::vector<document_chunk> splitIntoChunks(std::string_view text)
{
    std::vector<document_chunk> chunks;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, firstChunkLength(text));
        chunks.push_back({sha256Hex(part), std::string(part)});
        text.remove_prefix(part.size());
    }
    return chunks;
}

} // namespace quetzal
