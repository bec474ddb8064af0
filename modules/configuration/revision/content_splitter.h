#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace quetzal {

/** Bounds on the sizes of the parts that splitByContent produces. */
struct part_sizes
{
    std::size_t minBytes = 0;
    /** Average distance from the minimum size to the next boundary; a power of two. */
    std::size_t boundaryIntervalBytes = 1;
    std::size_t maxBytes = 0;
};

/**
 * Splits a text by content-defined chunking with a gear hash.
 *
 * The boundaries depend only on nearby content, so that an edit changes the parts near it and
 * leaves the others unchanged. The returned views refer to the given text.
 */
std::vector<std::string_view> splitByContent(std::string_view text, const part_sizes &sizes);

} // namespace quetzal
