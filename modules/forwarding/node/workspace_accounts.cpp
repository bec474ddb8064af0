#include "forwarding/node/workspace_accounts.h"

#include "admission/share/fair_level.h"
#include "foundation/hashing/stable_hash.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** With this part of all demand served, no workspace is limited. */
constexpr double servedFractionWithoutLimit = 0.97;

} // namespace

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

std::optional<double> workspace_accounts::computeFairLevel(const fleet_view &fleet,
                                                           absl::Time now) const
{
    const std::vector<name_hash> remote = fleet.workspaces(now);
    absl::flat_hash_set<name_hash> names(remote.begin(), remote.end());
    for (const auto &[name, entry] : m_accounts)
        names.insert(name);
    std::vector<double> requested;
    double requestedSum = 0.0;
    double servedSum = 0.0;
    for (const name_hash name : names) {
        const workspace_usage usage = usageOf(name, fleet, now);
        if (usage.requestedTokens <= 0)
            continue;
        requested.push_back(static_cast<double>(usage.requestedTokens));
        requestedSum += requested.back();
        servedSum += static_cast<double>(usage.servedTokens);
    }
    if (servedSum >= requestedSum * servedFractionWithoutLimit)
        return std::nullopt;
    // What turned out not to be served may be taken back after its acceptance has left the window.
    return fairLevel(std::move(requested), std::max(servedSum, 0.0));
}

share_state workspace_accounts::shareOf(const std::string &workspace, const fleet_view &fleet,
                                        absl::Time now)
{
    if (now - m_fairLevelAt >= fairLevelInterval) {
        m_fairLevel = computeFairLevel(fleet, now);
        m_fairLevelAt = now;
    }
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
