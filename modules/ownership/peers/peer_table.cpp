#include "ownership/peers/peer_table.h"

#include <algorithm>

namespace quetzal {

peer_table::peer_table(absl::Duration silence)
    : m_silence(silence)
{
}

void peer_table::hear(const std::string &vm, const peer_state &state)
{
    peer_state &known = m_peers[vm];
    if (state.incarnation >= known.incarnation)
        known = state;
}

void peer_table::hear(const std::string &vm, absl::Time now)
{
    peer_state &known = m_peers[vm];
    known.heardAt = std::max(known.heardAt, now);
    known.storeReachable = true;
}

bool peer_table::isHeard(const std::string &vm, absl::Time now) const
{
    return now - state(vm).heardAt <= m_silence;
}

const peer_state &peer_table::state(const std::string &vm) const
{
    static const peer_state unheard;
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? unheard : found->second;
}

int peer_table::countHeard(const std::vector<std::string> &vms, absl::Time now) const
{
    return static_cast<int>(
        std::ranges::count_if(vms, [&](const std::string &vm) { return isHeard(vm, now); }));
}

bool peer_table::allWithoutStore(const std::vector<std::string> &vms, absl::Time now) const
{
    return std::ranges::all_of(
        vms, [&](const std::string &vm) { return isHeard(vm, now) && !state(vm).storeReachable; });
}

bool peer_table::anyWithStore(const std::vector<std::string> &vms, absl::Time now) const
{
    return std::ranges::any_of(
        vms, [&](const std::string &vm) { return isHeard(vm, now) && state(vm).storeReachable; });
}

} // namespace quetzal
