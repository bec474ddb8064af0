#pragma once

#include "fairness/workload.h"
#include "foundation/random/random_source.h"
#include "simulation/event_queue.h"

#include <cstdint>
#include <vector>

namespace quetzal::bench {

/** What the baselines have in common: no charges, no exchange, no owners to lose. */
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

/** One queue for all in the order of arrival. */
class arrival_order_policy : public uncharged_policy
{
public:
    arrival_order_policy(const workload &load, std::uint64_t seed);

    int partitions() const { return 1; }
    int next(int partition);

private:
    std::vector<double> m_arrivalRates;
    double m_totalRate = 0.0;
    random_source m_random;
};

/**
 * Every router serves its own callers in turn with its part of the slots.
 *
 * Workspaces are spread unevenly: each enters at some of the routers only.
 */
class router_round_robin_policy : public uncharged_policy
{
public:
    router_round_robin_policy(const workload &load, int routers);

    int partitions() const { return static_cast<int>(m_routers.size()); }
    int next(int partition);

private:
    struct router
    {
        std::vector<int> workspaces;
        std::size_t nextIndex = 0;
    };

    std::vector<router> m_routers;
};

} // namespace quetzal::bench
