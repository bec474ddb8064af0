#include "admission/share/fair_level.h"

#include <algorithm>

namespace quetzal {

std::optional<double> fairLevel(std::vector<double> requested, double capacity)
{
    std::sort(requested.begin(), requested.end());
    double remaining = capacity;
    for (std::size_t index = 0; index < requested.size(); ++index) {
        const double level = remaining / static_cast<double>(requested.size() - index);
        if (requested[index] > level)
            return level;
        remaining -= requested[index];
    }
    return std::nullopt;
}

} // namespace quetzal
