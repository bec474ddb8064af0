#include "forwarding/node/workspace_accounts.h"

#include "admission/share/fair_level.h"
#include "foundation/hashing/stable_hash.h"

#include <absl/container/flat_hash_set.h>

namespace quetzal {

void workspace_accounts::onRequested(const std::string &workspace, std::int64_t tokens,
                                     absl::Time now)
{
    m_accounts[stableHash(workspace)].requested.add(tokens, now);
}

void workspace_accounts::onServed(const std::string &workspace, std::int64_t tokens, absl::Time now)
{
    m_accounts[stableHash(workspace)].served.add(tokens, now);
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
        std::int64_t tokens = fleet.usageOf(name, now).requestedTokens;
        if (const auto own = m_accounts.find(name); own != m_accounts.end())
            tokens += own->second.requested.sum(now);
        if (tokens > 0)
            requested.push_back(static_cast<double>(tokens));
    }
    return fairLevel(std::move(requested), capacity);
}

share_state workspace_accounts::shareOf(const std::string &workspace, const fleet_view &fleet,
                                        double tokensPerSecond, absl::Time now)
{
    if (now - m_fairLevelAt >= fairLevelInterval) {
        const double capacity = tokensPerSecond * absl::ToDoubleSeconds(token_window::span);
        m_fairLevel = capacity > 0.0 ? computeFairLevel(fleet, capacity, now) : std::nullopt;
        m_fairLevelAt = now;
    }
    const name_hash name = stableHash(workspace);
    std::int64_t served = fleet.usageOf(name, now).servedTokens;
    if (const auto own = m_accounts.find(name); own != m_accounts.end())
        served += own->second.served.sum(now);
    return {.servedTokens = static_cast<double>(served), .fairShareTokens = m_fairLevel};
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
