#include "forwarding/node/workspace_accounts.h"

#include "admission/share/fair_level.h"
#include "foundation/hashing/stable_hash.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace quetzal {

workspace_accounts::workspace_accounts(capacity_limits limits)
    : m_limits(limits)
{
}

void workspace_accounts::onDecided(const std::string &workspace, std::int64_t tokens,
                                   bool isAccepted, absl::Time now)
{
    account &entry = m_accounts[stableHash(workspace)];
    entry.requested.add(tokens, now);
    if (isAccepted)
        entry.served.add(tokens, now);
}

void workspace_accounts::onNotServed(const std::string &workspace, std::int64_t tokens,
                                     absl::Time now)
{
    m_accounts[stableHash(workspace)].served.add(-tokens, now);
}

workspace_usage workspace_accounts::usageOf(name_hash workspace, const fleet_view &fleet,
                                            absl::Time now) const
{
    workspace_usage usage = fleet.usageOf(workspace, now);
    if (const auto own = m_accounts.find(workspace); own != m_accounts.end()) {
        usage.requestedTokens += own->second.requested.sum(now);
        usage.servedTokens += own->second.served.sum(now);
    }
    return usage;
}

void workspace_accounts::onPlaced(std::int64_t tokens, absl::Duration work, absl::Time now)
{
    m_placedTokens.add(tokens, now);
    m_placedWorkMs.add(absl::ToInt64Milliseconds(work), now);
}

placement_digest workspace_accounts::placed(absl::Time now) const
{
    return {.tokens = m_placedTokens.sum(now), .workMs = m_placedWorkMs.sum(now)};
}

double workspace_accounts::capacityOf(const fleet_view &fleet, const target_pressure &pressure,
                                      absl::Time now) const
{
    const placement_digest own = placed(now);
    const placement_digest others = fleet.placed(now);
    const placed_work all {.tokens = static_cast<double>(own.tokens + others.tokens),
                           .work = absl::Milliseconds(own.workMs + others.workMs)};
    return capacityTokens(all, pressure, token_window::span, m_limits);
}

std::optional<double> workspace_accounts::computeFairLevel(const fleet_view &fleet, double capacity,
                                                           absl::Time now) const
{
    const std::vector<name_hash> remote = fleet.workspaces(now);
    absl::flat_hash_set<name_hash> names(remote.begin(), remote.end());
    for (const auto &[name, entry] : m_accounts)
        names.insert(name);
    std::vector<double> requested;
    for (const name_hash name : names) {
        const workspace_usage usage = usageOf(name, fleet, now);
        if (usage.requestedTokens > 0)
            requested.push_back(static_cast<double>(usage.requestedTokens));
    }
    return fairLevel(std::move(requested), capacity);
}

void workspace_accounts::updateFairLevel(const fleet_view &fleet, const target_pressure &pressure,
                                         absl::Time now)
{
    m_fairLevel = computeFairLevel(fleet, capacityOf(fleet, pressure, now), now);
    m_fairLevelAt = now;
}

share_state workspace_accounts::shareOf(const std::string &workspace, const fleet_view &fleet,
                                        absl::Time now) const
{
    const workspace_usage usage = usageOf(stableHash(workspace), fleet, now);
    return {.requestedTokens = static_cast<double>(usage.requestedTokens),
            .servedTokens = static_cast<double>(usage.servedTokens),
            .fairShareTokens = m_fairLevel};
}

std::vector<workspace_digest> workspace_accounts::digest(absl::Time now) const
{
    std::vector<workspace_digest> rows;
    for (const auto &[name, entry] : m_accounts) {
        const workspace_digest row {.workspace = name,
                                    .requestedTokens = entry.requested.sum(now),
                                    .servedTokens = entry.served.sum(now)};
        if (row.requestedTokens > 0)
            rows.push_back(row);
    }
    return rows;
}

} // namespace quetzal
