#pragma once

#include <map>
#include <string>
#include <utility>

namespace quetzal {

/**
 * The service gap between workspaces that are backlogged all the time.
 *
 * The gap is the widest difference of service over share that any two workspaces show over any
 * interval since the last reset, which is the range of their running difference.
 */
class gap_meter
{
public:
    /** Takes the cumulative service over share of every workspace. */
    void observe(const std::map<std::string, double> &weightedService);
    void reset() { m_ranges.clear(); }
    double gap() const;

private:
    struct range
    {
        double least = 0.0;
        double most = 0.0;
    };

    std::map<std::pair<std::string, std::string>, range> m_ranges;
};

} // namespace quetzal
