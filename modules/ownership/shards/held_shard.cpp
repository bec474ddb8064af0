#include "ownership/shards/held_shard.h"

#include <algorithm>

namespace quetzal {

bool held_shard::isSoleGranter(absl::Duration grantLifetime, absl::Time now) const
{
    const bool isFirstOwner = epoch == 1;
    if (!isFirstOwner && now < since + grantLifetime)
        return false;
    return std::ranges::all_of(former, [&](const former_owner_state &state) {
        return now >= state.stoppedAt + grantLifetime;
    });
}

bool held_shard::mustWithholdColdGrants(absl::Duration grantLifetime, absl::Time now) const
{
    return abrupt && now < since + grantLifetime;
}

std::vector<former_owner> held_shard::unstoppedOwners() const
{
    std::vector<former_owner> owners;
    for (const former_owner_state &state : former) {
        if (state.stoppedAt == absl::InfiniteFuture())
            owners.push_back(state.owner);
    }
    return owners;
}

} // namespace quetzal
