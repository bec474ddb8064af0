#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** A part of a canonical document, identified by its SHA-256 digest. */
struct document_chunk
{
    std::string digest;
    std::string text;

    bool operator==(const document_chunk &) const = default;
};

/** Maximum size of a chunk. */
constexpr std::size_t maxChunkBytes = 256 * 1024;

/**
 * Splits a canonical document into chunks of at most maxChunkBytes.
 *
 * The boundaries are content-defined (see splitByContent), so that a change of one workspace alters
 * one or two chunks and leaves the others unchanged.
 */
std::vector<document_chunk> splitIntoChunks(std::string_view text);

} // namespace quetzal
