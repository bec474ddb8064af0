#include "fairness/baseline_policies.h"

namespace quetzal::bench {

arrival_order_policy::arrival_order_policy(const workload &load, std::uint64_t seed)
    : m_arrivals(load.arrivals)
    , m_random(seed)
{
    for (const double rate : m_arrivals)
        m_sum += rate;
}

int arrival_order_policy::next(int)
{
    double left = m_random.uniform() * m_sum;
    for (std::size_t workspace = 0; workspace < m_arrivals.size(); ++workspace) {
        left -= m_arrivals[workspace];
        if (left < 0.0)
            return static_cast<int>(workspace);
    }
    return static_cast<int>(m_arrivals.size()) - 1;
}

router_round_robin_policy::router_round_robin_policy(const workload &load, int routers)
    : m_routers(routers)
{
    constexpr int entriesOfLarge = 3;
    for (std::size_t workspace = 0; workspace < load.shares.size(); ++workspace) {
        const int entries = load.shares[workspace] > 1.0 ? entriesOfLarge : 1;
        for (int entry = 0; entry < entries; ++entry) {
            const std::size_t place = (workspace + entry) % m_routers.size();
            m_routers[place].workspaces.push_back(static_cast<int>(workspace));
        }
    }
}

int router_round_robin_policy::next(int partition)
{
    router &here = m_routers[partition];
    return here.workspaces[here.turn++ % here.workspaces.size()];
}

} // namespace quetzal::bench
