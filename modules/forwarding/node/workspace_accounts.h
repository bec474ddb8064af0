#pragma once

#include "admission/capacity/capacity_estimate.h"
#include "admission/share/share_state.h"
#include "admission/share/token_window.h"
#include "exchange/view/fleet_view.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/**
 * Accounts of the tokens that each workspace requested and received within the window, and of its
 * fair share.
 */
class workspace_accounts
{
public:
    explicit workspace_accounts(capacity_limits limits = {});

    /** The interval at which the fair level is recomputed. */
    static constexpr absl::Duration fairLevelInterval = absl::Milliseconds(100);

    /** Counts the tokens of a request that was accepted, or rejected for overload. */
    void onDecided(const std::string &workspace, std::int64_t tokens, bool isAccepted,
                   absl::Time now);
    /** Counts a request that was placed at a target, by its tokens and the work it makes there. */
    void onPlaced(std::int64_t tokens, absl::Duration work, absl::Time now);
    /** Takes back the tokens of a request that was accepted, but not executed by any target. */
    void onNotServed(const std::string &workspace, std::int64_t tokens, absl::Time now);

    /** True if the fair level is to be computed anew. */
    bool isFairLevelDue(absl::Time now) const { return now - m_fairLevelAt >= fairLevelInterval; }
    /** Computes the fair level. @param pressure the state of all model engines */
    void updateFairLevel(const fleet_view &fleet, const target_pressure &pressure, absl::Time now);
    /** Returns the usage and the fair share of a workspace over all routers. */
    share_state shareOf(const std::string &workspace, const fleet_view &fleet,
                        absl::Time now) const;
    /** Returns what this router placed. */
    placement_digest placed(absl::Time now) const;
    /** Returns the tokens requested from and served by this router, by workspace. */
    std::vector<workspace_digest> digest(absl::Time now) const;

private:
    struct account
    {
        token_window requested;
        token_window served;
    };

    /** Returns the level at which a capacity covers the demand; nothing if it covers all of it. */
    std::optional<double> computeFairLevel(const fleet_view &fleet, double capacity,
                                           absl::Time now) const;
    /** Returns the tokens that the targets can serve within the window. */
    double capacityOf(const fleet_view &fleet, const target_pressure &pressure,
                      absl::Time now) const;
    /** Returns the usage of a workspace at all routers, this one included. */
    workspace_usage usageOf(name_hash workspace, const fleet_view &fleet, absl::Time now) const;

    capacity_limits m_limits;
    absl::flat_hash_map<name_hash, account> m_accounts;
    token_window m_placedTokens;
    token_window m_placedWorkMs;
    std::optional<double> m_fairLevel;
    absl::Time m_fairLevelAt = absl::InfinitePast();
};

} // namespace quetzal
