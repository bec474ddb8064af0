#pragma once

#include "ownership/store/shard_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace quetzal {

/** What the current owner knows about a former owner. */
struct former_owner_state
{
    former_owner owner;
    /** Time since which the VM list no longer names the former owner's VM. */
    absl::Time unlistedSince = absl::InfiniteFuture();
    /** Time at which the former owner was first known to have stopped granting. */
    absl::Time stoppedAt = absl::InfiniteFuture();

    bool operator==(const former_owner_state &) const = default;
};

/** A shard whose store record names this scheduler. */
struct held_shard
{
    std::int64_t epoch = 0;
    /** Store revision of the record that names this scheduler. */
    std::int64_t modRevision = 0;
    absl::Time since = absl::InfinitePast();
    /** True once a transaction that hands the shard over has been sent. */
    bool handingOver = false;
    /** True if the previous owner may have granted a whole cold limit until the takeover. */
    bool abrupt = false;
    std::vector<former_owner_state> former;

    /** True if no grant of a former owner can be used any more. */
    bool isSoleGranter(absl::Duration grantLifetime, absl::Time now) const;
    /** True while grants of the previous owner may still use a cold target's whole limit. */
    bool mustWithholdColdGrants(absl::Duration grantLifetime, absl::Time now) const;
    /** Returns the former owners that may still grant. */
    std::vector<former_owner> unstoppedOwners() const;

    bool operator==(const held_shard &) const = default;
};

} // namespace quetzal
