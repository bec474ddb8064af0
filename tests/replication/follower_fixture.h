#pragma once

#include "directory/mirror/store_revision.h"
#include "replication/replication.h"

#include <string>
#include <utility>
#include <vector>

namespace quetzal {

using action = follower_step::action;

inline const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
/** Some time after the start, when no first copy is waited for. */
inline const absl::Time now = start + absl::Seconds(5);
inline const std::vector<std::string> fleet {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"};

inline key_change written(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

inline stored_item item(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {.key = key, .value = value, .revision = revision};
}

inline mirror_follower followerOf(const std::string &vm)
{
    mirror_follower follower({.prefix = "a/", .self = vm, .startedAt = start});
    follower.setRouters(fleet);
    return follower;
}

/** Returns the name of the router with a rank in the order of readers. */
inline std::string vmOfRank(std::size_t rank)
{
    for (const std::string &vm : fleet) {
        reader_order order("a/", vm);
        order.setRouters(fleet);
        if (order.rank() == rank)
            return vm;
    }
    return {};
}

inline mirror_update updateOf(const std::string &vm, std::int64_t after, std::int64_t revision,
                              std::vector<key_change> changes = {})
{
    return {.vm = vm, .after = after, .revision = revision, .changes = std::move(changes)};
}

} // namespace quetzal
