#pragma once

#include "ownership/store/shard_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace quetzal {

/** A former owner as the present owner sees it. */
struct former_owner_state
{
    former_owner owner;
    /** Since when the VM list does not name the former owner's VM. */
    absl::Time unlistedSince = absl::InfiniteFuture();
    /** When the former owner was known to grant no more. */
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
    /** True from the sending of a transaction that gives the shard away. */
    bool handingOver = false;
    /** True when the owner before may have granted a whole cold limit until this one took over. */
    bool abrupt = false;
    std::vector<former_owner_state> former;

    /** True when no grant of a former owner can be used any more. */
    bool isSoleGranter(absl::Duration grantLifetime, absl::Time now) const;
    /** True when no grant on a cold target is safe yet. */
    bool mustWithholdColdGrants(absl::Duration grantLifetime, absl::Time now) const;
    /** The former owners that may still grant. */
    std::vector<former_owner> unstoppedOwners() const;

    bool operator==(const held_shard &) const = default;
};

} // namespace quetzal
