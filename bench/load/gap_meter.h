#pragma once

#include <map>
#include <string>
#include <utility>

namespace quetzal {

/**
 * Measures the widest gap in service between two workspaces, over every interval in which both are
 * backlogged.
 *
 * It is computed from samples of each workspace's total service divided by its share.
 */
class gap_meter
{
public:
    /** The state of one workspace at the time of a sample. */
    struct sample
    {
        /** Total service divided by the share. */
        double service = 0.0;
        bool backlogged = false;

        bool operator==(const sample &) const = default;
    };

    /** Adds the next sample of all workspaces. */
    void add(const std::map<std::string, sample> &samples);

    /** Returns the widest gap between any two workspaces, in service divided by share. */
    double widest() const { return m_widest; }
    /** Returns the widest gap between one workspace and any other; 0 if it has none. */
    double widestOf(const std::string &workspace) const;
    /** Returns the two workspaces with the widest gap; empty names while there is no gap. */
    const std::pair<std::string, std::string> &pair() const { return m_widestPair; }

private:
    /** Lowest and highest difference of service in the present interval. */
    struct range
    {
        double lowest = 0.0;
        double highest = 0.0;
    };

    std::map<std::pair<std::string, std::string>, range> m_ranges;
    std::map<std::string, double> m_widestByWorkspace;
    double m_widest = 0.0;
    std::pair<std::string, std::string> m_widestPair;
};

} // namespace quetzal
