#pragma once

#include "admission/limit/backlog_limit.h"
#include "admission/share/token_window.h"
#include "exchange/view/fleet_view.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/**
 * Accounts of the tokens that each workspace requested and received within the last seconds, and of
 * its fair share.
 */
class workspace_accounts
{
public:
    /** The interval at which the fair level is recomputed. */
    static constexpr absl::Duration fairLevelInterval = absl::Milliseconds(100);

    /** Counts tokens that a workspace requested from this router. */
    void onRequested(const std::string &workspace, std::int64_t tokens, absl::Time now);
    /** Counts tokens of requests that were sent to a target. */
    void onServed(const std::string &workspace, std::int64_t tokens, absl::Time now);

    /**
     * Returns the usage and the fair share of a workspace; tokensPerSecond is the capacity of the
     * fleet.
     */
    share_state shareOf(const std::string &workspace, const fleet_view &fleet,
                        double tokensPerSecond, absl::Time now);
    /** Returns the tokens requested from and served by this router, by workspace. */
    std::vector<workspace_digest> digest(absl::Time now) const;

private:
    struct account
    {
        token_window requested;
        token_window served;
    };

    /** Returns the fair level over all routers; nothing while the capacity covers all demand. */
    std::optional<double> computeFairLevel(const fleet_view &fleet, double capacity,
                                           absl::Time now) const;

    absl::flat_hash_map<name_hash, account> m_accounts;
    std::optional<double> m_fairLevel;
    absl::Time m_fairLevelAt = absl::InfinitePast();
};

} // namespace quetzal
