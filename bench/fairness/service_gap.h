#pragma once

#include <vector>

namespace quetzal::bench {

/**
 * Measures the largest difference of weighted service between two workspaces, over all intervals.
 *
 * Weighted service is service divided by share. All workspaces must be backlogged throughout. The
 * difference over an interval is then the change of the running difference of the two, and its
 * maximum over all intervals is the range of the running difference. Each addition takes one
 * step for every pair that it affects.
 */
class service_gap
{
public:
    explicit service_gap(std::vector<double> shares);

    /** Adds an amount of service to one workspace. */
    void add(int workspace, double amount);
    /** Adds amounts of service to all workspaces at the same moment. */
    void addAll(const std::vector<double> &amounts);
    /** Returns the largest difference of weighted service between two workspaces. */
    double between(int first, int second) const;
    /**
     * Returns the largest difference of any pair of workspaces, as a multiple of the largest
     * weighted request of that pair. largest holds the cost of each workspace's largest request.
     */
    double maxGap(const std::vector<double> &largest) const;
    /** Returns the service that a workspace received, in the unit of the service. */
    double served(int workspace) const;

private:
    /** Lowest and highest running difference of a pair. */
    struct range
    {
        double lowest = 0.0;
        double highest = 0.0;
    };

    /** Updates the range of a pair with its present difference. */
    void observe(int first, int second);

    std::vector<double> m_shares;
    /** Service divided by share, by workspace. */
    std::vector<double> m_weightedService;
    /** Ranges of the difference first minus second, for first < second, in row-major order. */
    std::vector<range> m_ranges;
};

} // namespace quetzal::bench
