#pragma once

#include "fairness/workload.h"
#include "foundation/random/random_source.h"
#include "simulation/event_queue.h"

#include <cstdint>
#include <vector>

namespace quetzal::bench {

/**
 * Base of the baseline policies: they charge nothing, exchange nothing and keep no state that the
 * loss of an owner or home would affect.
 */
class uncharged_policy
{
public:
    double dispatched(int, const simulated_request &) { return 0.0; }
    double progressed(int, const simulated_request &, double, double) { return 0.0; }
    void ended(int, const simulated_request &, double, double) { }
    void exchange(event_queue &) { }
    void loseOwner(int) { }
    void loseHome(int) { }
    std::int64_t messages() const { return 0; }
    std::int64_t lines() const { return 0; }
};

/** Serves the requests of all workspaces from one queue in the order of their arrival. */
class arrival_order_policy : public uncharged_policy
{
public:
    arrival_order_policy(const workload &load, std::uint64_t seed);

    int partitions() const { return 1; }
    /** Draws the next workspace in proportion to the arrival rates. */
    int next(int partition);

private:
    std::vector<double> m_arrivalRates;
    double m_totalRate = 0.0;
    random_source m_random;
};

/**
 * Each router serves the workspaces of its own callers by round robin, with its part of the slots.
 *
 * The workspaces are distributed unevenly over the routers: a workspace with a share above 1 sends
 * its requests to three routers, any other workspace to one.
 */
class router_round_robin_policy : public uncharged_policy
{
public:
    router_round_robin_policy(const workload &load, int routers);

    int partitions() const { return static_cast<int>(m_routers.size()); }
    int next(int partition);

private:
    /** The workspaces of a router and the position of the round robin. */
    struct router
    {
        std::vector<int> workspaces;
        std::size_t nextIndex = 0;
    };

    std::vector<router> m_routers;
};

} // namespace quetzal::bench
