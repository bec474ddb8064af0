#include "fleet/gap_meter.h"

#include <algorithm>

namespace quetzal {

void gap_meter::observe(const std::map<std::string, double> &weightedService)
{
    for (auto first = weightedService.begin(); first != weightedService.end(); ++first) {
        for (auto second = std::next(first); second != weightedService.end(); ++second) {
            const double difference = first->second - second->second;
            const auto [found, added] = m_ranges.try_emplace({first->first, second->first},
                                                             range {difference, difference});
            found->second.least = std::min(found->second.least, difference);
            found->second.most = std::max(found->second.most, difference);
        }
    }
}

double gap_meter::gap() const
{
    double widest = 0.0;
    for (const auto &[pair, item] : m_ranges)
        widest = std::max(widest, item.most - item.least);
    return widest;
}

} // namespace quetzal
