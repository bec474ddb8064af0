#pragma once

#include <map>
#include <string>
#include <utility>

namespace quetzal {

/**
 * The widest difference of service between two workspaces over every interval in which both were
 * backlogged, from samples of each workspace's total service divided by its share.
 */
class gap_meter
{
public:
    /** One workspace at a sample. */
    struct sample
    {
        /** Service so far divided by the share. */
        double service = 0.0;
        bool backlogged = false;

        bool operator==(const sample &) const = default;
    };

    /** Takes the next sample of all workspaces. */
    void add(const std::map<std::string, sample> &samples);

    /** The widest gap, in service divided by share. */
    double widest() const { return m_widest; }
    /** The widest gap of one workspace against any other. */
    double widestOf(const std::string &workspace) const;
    /** The two workspaces of the widest gap; empty before there is one. */
    const std::pair<std::string, std::string> &pair() const { return m_widestPair; }

private:
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
