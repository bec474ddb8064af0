#include "scheduling/node/ledger_homes.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal {

ledger_homes::ledger_homes(std::string self, absl::Duration homeTimeout)
    : m_self(std::move(self))
    , m_homeTimeout(homeTimeout)
    , m_candidates {m_self}
{
}

void ledger_homes::recordHeartbeat(const std::string &vm, absl::Time now)
{
    m_lastHeartbeats[vm] = now;
}

bool ledger_homes::update(const std::vector<scheduler_member> &members, absl::Time now)
{
    std::vector<std::string> candidates {m_self};
    for (const scheduler_member &member : members) {
        const auto lastHeartbeat = m_lastHeartbeats.find(member.vm);
        const bool alive = lastHeartbeat != m_lastHeartbeats.end()
            && now - lastHeartbeat->second <= m_homeTimeout;
        if (alive && member.vm != m_self)
            candidates.push_back(member.vm);
    }
    if (candidates == m_candidates)
        return false;
    m_candidates = std::move(candidates);
    m_homes.clear();
    return true;
}

const std::string &ledger_homes::homeOf(const std::string &workspace)
{
    const auto [found, added] = m_homes.try_emplace(workspace);
    if (added)
        found->second = *std::max_element(
            m_candidates.begin(), m_candidates.end(),
            [&workspace](const std::string &left, const std::string &right) {
                return rendezvousWeight(workspace, left) < rendezvousWeight(workspace, right);
            });
    return found->second;
}

} // namespace quetzal
