#pragma once

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

/** Counters of the engines of a data centre since their start. */
struct slot_usage
{
    /** Time in which slots were generating, summed over the slots. */
    double busySlotSeconds = 0.0;
    /** Time in which slots could have been generating, given the engines' capacity at the time. */
    double availableSlotSeconds = 0.0;

    bool operator==(const slot_usage &) const = default;
};

/** Computes the engines' utilisation over time from readings of their counters. */
class utilisation_series
{
public:
    /** Adds a reading of the counters of all data centres. Times must not decrease. */
    void add(absl::Time now, const std::map<std::string, slot_usage> &usage);

    /**
     * Returns the busy fraction of the available slots between two times, over all data centres
     * except the excluded ones; 0 if fewer than two readings lie between the times.
     */
    double utilisationBetween(absl::Time from, absl::Time to,
                              const std::set<std::string> &excluded) const;
    /** Returns the busy fraction of one data centre's available slots over all readings. */
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
