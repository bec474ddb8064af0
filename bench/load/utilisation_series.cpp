#include "bench/load/utilisation_series.h"

#include <algorithm>

namespace quetzal {

namespace {

/** Returns the busy fraction of the available slots; 0 if none were available. */
double busyFraction(const slot_usage &usage)
{
    return usage.availableSlotSeconds > 0.0 ? usage.busySlotSeconds / usage.availableSlotSeconds
                                            : 0.0;
}

slot_usage total(const std::map<std::string, slot_usage> &usage,
                 const std::set<std::string> &excluded)
{
    slot_usage sum;
    for (const auto &[dataCentre, slots] : usage) {
        if (excluded.contains(dataCentre))
            continue;
        sum.busySlotSeconds += slots.busySlotSeconds;
        sum.availableSlotSeconds += slots.availableSlotSeconds;
    }
    return sum;
}

slot_usage difference(const slot_usage &later, const slot_usage &earlier)
{
    return {later.busySlotSeconds - earlier.busySlotSeconds,
            later.availableSlotSeconds - earlier.availableSlotSeconds};
}

} // namespace

void utilisation_series::add(absl::Time now, const std::map<std::string, slot_usage> &usage)
{
    m_readings.push_back({now, usage});
}

double utilisation_series::utilisationBetween(absl::Time from, absl::Time to,
                                              const std::set<std::string> &excluded) const
{
    const auto first = std::ranges::lower_bound(m_readings, from, {}, &reading::time);
    const auto end = std::ranges::upper_bound(m_readings, to, {}, &reading::time);
    if (end - first < 2)
        return 0.0;
    const auto last = std::prev(end);
    return busyFraction(difference(total(last->usage, excluded), total(first->usage, excluded)));
}

double utilisation_series::utilisationOf(const std::string &dataCentre) const
{
    if (m_readings.empty() || !m_readings.back().usage.contains(dataCentre)
        || !m_readings.front().usage.contains(dataCentre))
        return 0.0;
    return busyFraction(difference(m_readings.back().usage.at(dataCentre),
                                   m_readings.front().usage.at(dataCentre)));
}

} // namespace quetzal
