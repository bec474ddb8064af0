#pragma once

#include <optional>
#include <vector>

namespace quetzal {

/**
 * Returns the max-min fair level: workspaces that request less receive all of it, all others
 * receive the level, and the sum is the capacity. Returns nothing if the capacity covers all
 * demand.
 */
std::optional<double> fairLevel(std::vector<double> requested, double capacity);

} // namespace quetzal
