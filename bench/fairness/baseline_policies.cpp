#include "fairness/baseline_policies.h"

namespace quetzal::bench {

arrival_order_policy::arrival_order_policy(const workload &load, std::uint64_t seed)
    : m_arrivalRates(load.arrivalRates)
    , m_random(seed)
{
    for (const double rate : m_arrivalRates)
        m_totalRate += rate;
}

int arrival_order_policy::next(int)
{
    double remaining = m_random.uniform() * m_totalRate;
    for (std::size_t workspace = 0; workspace < m_arrivalRates.size(); ++workspace) {
        remaining -= m_arrivalRates[workspace];
        if (remaining < 0.0)
            return static_cast<int>(workspace);
    }
    return static_cast<int>(m_arrivalRates.size()) - 1;
}

router_round_robin_policy::router_round_robin_policy(const workload &load, int routers)
    : m_routers(routers)
{
    constexpr int entriesOfLargeWorkspace = 3;
    for (std::size_t workspace = 0; workspace < load.shares.size(); ++workspace) {
        const int entries = load.shares[workspace] > 1.0 ? entriesOfLargeWorkspace : 1;
        for (int entry = 0; entry < entries; ++entry) {
            const std::size_t routerIndex = (workspace + entry) % m_routers.size();
            m_routers[routerIndex].workspaces.push_back(static_cast<int>(workspace));
        }
    }
}

int router_round_robin_policy::next(int partition)
{
    router &state = m_routers[partition];
    return state.workspaces[state.nextIndex++ % state.workspaces.size()];
}

} // namespace quetzal::bench
