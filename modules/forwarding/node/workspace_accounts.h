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

/** What each workspace asked of the fleet and got within the last seconds, and what it is owed. */
class workspace_accounts
{
public:
    /** How often the fair level is worked out anew. */
    static constexpr absl::Duration fairLevelInterval = absl::Milliseconds(100);

    void onRequested(const std::string &workspace, std::int64_t tokens, absl::Time now);
    void onServed(const std::string &workspace, std::int64_t tokens, absl::Time now);

    /** Where a workspace stands, with a capacity in tokens a second. */
    share_state shareOf(const std::string &workspace, const fleet_view &fleet,
                        double tokensPerSecond, absl::Time now);
    /** What callers of this router asked and got. */
    std::vector<workspace_digest> digest(absl::Time now) const;

private:
    struct account
    {
        token_window requested;
        token_window served;
    };

    std::optional<double> computeFairLevel(const fleet_view &fleet, double capacity,
                                           absl::Time now) const;

    absl::flat_hash_map<name_hash, account> m_accounts;
    std::optional<double> m_fairLevel;
    absl::Time m_fairLevelAt = absl::InfinitePast();
};

} // namespace quetzal
