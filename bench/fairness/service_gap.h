#pragma once

#include <vector>

namespace quetzal::bench {

/**
 * The largest difference of weighted service between two workspaces over every interval.
 *
 * For two workspaces that are backlogged throughout, the service difference over an interval is
 * the change of their running difference, so its largest value over all intervals is the range of
 * the running difference. All pairs together cost a step for each pair and change.
 */
class service_gap
{
public:
    explicit service_gap(std::vector<double> shares);

    /** Adds service of one workspace. */
    void add(int workspace, double amount);
    /** Adds service of all workspaces at once. */
    void addAll(const std::vector<double> &amounts);
    /** The largest difference between two workspaces over every interval, amount over share. */
    double between(int first, int second) const;
    /**
     * The worst pair's difference, in largest weighted requests of the pair; largest holds each
     * workspace's largest request.
     */
    double maxGap(const std::vector<double> &largest) const;
    double served(int workspace) const;

private:
    struct range
    {
        double lowest = 0.0;
        double highest = 0.0;
    };

    void observe(int first, int second);

    std::vector<double> m_shares;
    /** Service over share. */
    std::vector<double> m_weightedService;
    /** Ranges of first minus second for first < second, row by row. */
    std::vector<range> m_ranges;
};

} // namespace quetzal::bench
