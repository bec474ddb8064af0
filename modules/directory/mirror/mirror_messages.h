#pragma once

#include "directory/mirror/prefix_mirror.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzal {

/** One page of the keys below a prefix. */
struct listing_page
{
    std::vector<stored_item> items;
    /** True if more keys follow. */
    bool hasMore = false;
    /** The revision of the service when the page was read. */
    std::int64_t revision = 0;
    /** The number of rows that could not be read and are left out. */
    std::size_t unreadableCount = 0;

    bool operator==(const listing_page &) const = default;
};

/** The changes below a prefix up to a revision. */
struct change_page
{
    std::vector<key_change> changes;
    /** The revision up to which the changes are complete. */
    std::int64_t revision = 0;
    /** The number of rows that could not be read and are left out. */
    std::size_t unreadableCount = 0;

    bool operator==(const change_page &) const = default;
};

/** The replica of a prefix as one router gives it to another. */
struct mirror_copy
{
    std::vector<stored_item> items;
    /** The revision up to which all changes are contained. */
    std::int64_t revision = 0;
    /** The lowest revision from which on the prefix is known not to have changed. */
    std::int64_t unchangedSince = 0;
    /** The time since the service confirmed that the replica was current. */
    absl::Duration age;

    bool operator==(const mirror_copy &) const = default;
};

} // namespace quetzal
