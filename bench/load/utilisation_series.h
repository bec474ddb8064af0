#pragma once

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

/** What the engines of a data centre have done since their start. */
struct slot_usage
{
    /** Time in which slots were generating, summed over the slots. */
    double busySlotSeconds = 0.0;
    /** Time in which slots could have been generating, by what the engines bore. */
    double availableSlotSeconds = 0.0;

    bool operator==(const slot_usage &) const = default;
};

/** Utilisation of the engines over time, from readings of their counters. */
class utilisation_series
{
public:
    /** Takes a reading of all data centres. */
    void add(absl::Time now, const std::map<std::string, slot_usage> &usage);

    /**
     * Busy part of the bearable slots between two times, over all data centres but the excluded
     * ones; 0 when fewer than two readings lie between them.
     */
    double utilisationBetween(absl::Time from, absl::Time to,
                              const std::set<std::string> &excluded) const;
    /** Busy part of one data centre over all readings. */
    double utilisationOf(const std::string &dataCentre) const;

private:
    struct reading
    {
        absl::Time time;
        std::map<std::string, slot_usage> usage;
    };

    std::vector<reading> m_readings;
};

} // namespace quetzal
