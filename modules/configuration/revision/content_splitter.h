#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace quetzal {

/** Sizes of the parts that splitByContent makes, in bytes. */
struct part_sizes
{
    std::size_t minBytes = 0;
    /** How far apart boundaries are on average beyond the smallest size; a power of two. */
    std::size_t boundaryIntervalBytes = 1;
    std::size_t maxBytes = 0;
};

/**
 * Splits a text at boundaries that depend on the content near them (a gear hash), so that a change
 * alters the parts near it and leaves the others as they were. The parts refer to the text.
 */
std::vector<std::string_view> splitByContent(std::string_view text, const part_sizes &sizes);

} // namespace quetzal
