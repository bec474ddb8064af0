#pragma once

#include <cstddef>

namespace quetzal {

/** The connections to one target that all routers share. */
struct connection_bounds
{
    /** The number of connections that the target accepts from all routers together. */
    int maxConnections = 0;
    /** The number of routers that share the connections; 0 before any are known. */
    std::size_t routers = 1;

    bool operator==(const connection_bounds &) const = default;
};

/**
 * Returns how many connections each router may have whatever the others do: its even share of half
 * of the connections, and at least one. Before the others are known it is one.
 */
int guaranteedConnections(const connection_bounds &bounds);

/**
 * Returns how many connections this router may have.
 *
 * What is not guaranteed is left to the routers that need it, since the callers of a workspace may
 * all use one router. A router takes only a part of what is known to be free, because others may
 * take it at the same time. @param usedBeyond the connections that the other routers are known to
 * use beyond their guaranteed ones
 */
int connectionShare(const connection_bounds &bounds, int usedBeyond);

} // namespace quetzal
