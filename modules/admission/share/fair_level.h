#pragma once

#include <optional>
#include <vector>

namespace quetzal {

/**
 * The max-min fair level: with it, those that ask for less get all they ask, all others get the
 * level, and the sum is the capacity. Nothing when the capacity covers everything that is asked.
 */
std::optional<double> fairLevel(std::vector<double> requested, double capacity);

} // namespace quetzal
