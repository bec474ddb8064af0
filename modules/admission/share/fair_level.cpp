#include "admission/share/fair_level.h"

#include <algorithm>

namespace quetzal {

std::optional<double> fairLevel(std::vector<double> asked, double capacity)
{
    std::sort(asked.begin(), asked.end());
    double left = capacity;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double level = left / static_cast<double>(asked.size() - index);
        if (asked[index] > level)
            return level;
        left -= asked[index];
    }
    return std::nullopt;
}

} // namespace quetzal
