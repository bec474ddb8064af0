#include "exchange/view/fleet_view.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quetzal {

bool fleet_view::apply(const load_digest &digest, absl::Time now)
{
    received_digest &known = m_received[digest.vm];
    if (digest.incarnation == known.incarnation && digest.sequence <= known.sequence)
        return false;
    known = {.incarnation = digest.incarnation,
             .sequence = digest.sequence,
             .receivedAt = now,
             .lastChangeRevisions = digest.lastChangeRevisions};
    for (const target_digest &entry : digest.targets)
        known.targets[entry.target] = entry;
    for (const workspace_digest &entry : digest.workspaces)
        known.workspaces[entry.workspace] = entry;
    return true;
}

remote_load fleet_view::loadOf(name_hash target, absl::Time now) const
{
    remote_load sum;
    for (const auto &[vm, known] : m_received) {
        const absl::Duration age = now - known.receivedAt;
        const auto found = known.targets.find(target);
        if (age > lifetime || found == known.targets.end())
            continue;
        sum.backlog
            += std::max(absl::Milliseconds(found->second.backlogMs) - age, absl::ZeroDuration());
        sum.inFlight += static_cast<int>(found->second.inFlight);
    }
    return sum;
}

workspace_usage fleet_view::usageOf(name_hash workspace, absl::Time now) const
{
    workspace_usage sum;
    for (const auto &[vm, known] : m_received) {
        const auto found = known.workspaces.find(workspace);
        if (now - known.receivedAt > lifetime || found == known.workspaces.end())
            continue;
        sum.requestedTokens += found->second.requestedTokens;
        sum.servedTokens += found->second.servedTokens;
    }
    return sum;
}

std::vector<name_hash> fleet_view::workspaces(absl::Time now) const
{
    absl::flat_hash_set<name_hash> names;
    for (const auto &[vm, known] : m_received) {
        if (now - known.receivedAt > lifetime)
            continue;
        for (const auto &[workspace, entry] : known.workspaces)
            names.insert(workspace);
    }
    return {names.begin(), names.end()};
}

std::int64_t fleet_view::lastChangeRevision(std::size_t prefix, absl::Time now) const
{
    std::int64_t last = 0;
    for (const auto &[vm, known] : m_received) {
        if (now - known.receivedAt <= lifetime && prefix < known.lastChangeRevisions.size())
            last = std::max(last, known.lastChangeRevisions[prefix]);
    }
    return last;
}

std::size_t fleet_view::activePeerCount(absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_received.begin(), m_received.end(), [&](const auto &entry) {
            return now - entry.second.receivedAt <= lifetime;
        }));
}

} // namespace quetzal
