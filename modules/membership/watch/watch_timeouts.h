#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/** How long watches of one router wait at the key-value service for a change. */
struct watch_timeouts
{
    absl::Duration regular;
    /** The first wait after a change, which told all routers at the same moment. */
    absl::Duration first;

    bool operator==(const watch_timeouts &) const = default;
};

/**
 * The waits of the router with this rank among so many.
 *
 * Waits grow with the number of routers, so that the load of the service does not. First waits are
 * spread by rank: from then on some router's watch ends every few hundred milliseconds, and if
 * watches have gone deaf, that router notices and the exchange tells the others.
 */
watch_timeouts watchTimeouts(std::size_t routers, std::size_t rank);

} // namespace quetzal
