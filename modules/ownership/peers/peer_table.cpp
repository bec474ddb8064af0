#include "ownership/peers/peer_table.h"

#include <algorithm>

namespace quetzal {

peer_table::peer_table(absl::Duration timeout)
    : m_timeout(timeout)
{
}

void peer_table::observePeer(const std::string &vm, const peer_state &state)
{
    peer_state &known = m_peers[vm];
    if (state.incarnation >= known.incarnation)
        known = state;
}

void peer_table::observePeer(const std::string &vm, absl::Time now)
{
    peer_state &known = m_peers[vm];
    known.lastSeenAt = std::max(known.lastSeenAt, now);
    known.storeReachable = true;
}

bool peer_table::isAlive(const std::string &vm, absl::Time now) const
{
    return now - state(vm).lastSeenAt <= m_timeout;
}

const peer_state &peer_table::state(const std::string &vm) const
{
    static const peer_state unknown;
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? unknown : found->second;
}

int peer_table::countAlive(const std::vector<std::string> &vms, absl::Time now) const
{
    return static_cast<int>(
        std::ranges::count_if(vms, [&](const std::string &vm) { return isAlive(vm, now); }));
}

bool peer_table::allWithoutStore(const std::vector<std::string> &vms, absl::Time now) const
{
    return std::ranges::all_of(
        vms, [&](const std::string &vm) { return isAlive(vm, now) && !state(vm).storeReachable; });
}

bool peer_table::anyWithStore(const std::vector<std::string> &vms, absl::Time now) const
{
    return std::ranges::any_of(
        vms, [&](const std::string &vm) { return isAlive(vm, now) && state(vm).storeReachable; });
}

} // namespace quetzal
