#include "bench/load/gap_meter.h"

#include <algorithm>

namespace quetzal {

void gap_meter::add(const std::map<std::string, sample> &samples)
{
    for (auto first = samples.begin(); first != samples.end(); ++first) {
        for (auto second = std::next(first); second != samples.end(); ++second) {
            const std::pair key {first->first, second->first};
            if (!first->second.backlogged || !second->second.backlogged) {
                m_ranges.erase(key);
                continue;
            }
            const double difference = first->second.service - second->second.service;
            auto [found, isNew] = m_ranges.try_emplace(key, range {difference, difference});
            range &differences = found->second;
            differences.lowest = std::min(differences.lowest, difference);
            differences.highest = std::max(differences.highest, difference);
            const double gap = differences.highest - differences.lowest;
            for (const std::string &workspace : {key.first, key.second})
                m_widestByWorkspace[workspace] = std::max(m_widestByWorkspace[workspace], gap);
            if (gap <= m_widest)
                continue;
            m_widest = gap;
            m_widestPair = key;
        }
    }
}

double gap_meter::widestOf(const std::string &workspace) const
{
    const auto found = m_widestByWorkspace.find(workspace);
    return found == m_widestByWorkspace.end() ? 0.0 : found->second;
}

} // namespace quetzal
