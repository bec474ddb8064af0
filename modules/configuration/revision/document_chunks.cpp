#include "configuration/revision/document_chunks.h"

#include "configuration/revision/content_splitter.h"
#include "foundation/hashing/stable_hash.h"

namespace quetzal {

std::vector<document_chunk> splitIntoChunks(std::string_view text)
{
    constexpr std::size_t kibibyte = 1024;
    constexpr part_sizes sizes {.minBytes = 64 * kibibyte,
                                .boundaryIntervalBytes = 64 * kibibyte,
                                .maxBytes = maxChunkBytes};
    std::vector<document_chunk> chunks;
    for (const std::string_view part : splitByContent(text, sizes))
        chunks.push_back({sha256Hex(part), std::string(part)});
    return chunks;
}

} // namespace quetzal
