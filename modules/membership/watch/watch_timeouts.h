#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/** How long the watches of one router wait for a change at the key-value service. */
struct watch_timeouts
{
    absl::Duration regular;
    /** The timeout of the first watch after a change, which ended all watches simultaneously. */
    absl::Duration first;

    bool operator==(const watch_timeouts &) const = default;
};

/**
 * Returns the timeouts of the router with the given rank among a number of routers.
 *
 * Timeouts grow with the number of routers, so that the load of the service does not. The first
 * timeouts are spread by rank: from then on a watch of some router ends every few hundred
 * milliseconds. If the watches no longer deliver changes, that router detects it and its digests
 * notify the others.
 */
watch_timeouts watchTimeouts(std::size_t routers, std::size_t rank);

} // namespace quetzal
