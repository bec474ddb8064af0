#include "budgets/connection/connection_share.h"

#include <algorithm>

namespace quetzal {

namespace {

/** The number of routers that may take free connections before they hear of each other. */
constexpr int simultaneousRouters = 3;

} // namespace

int guaranteedConnections(const connection_bounds &bounds)
{
    if (bounds.routers == 0)
        return 1;
    return std::max(bounds.maxConnections / 2 / static_cast<int>(bounds.routers), 1);
}

int connectionShare(const connection_bounds &bounds, int usedBeyond)
{
    const int guaranteed = guaranteedConnections(bounds);
    const auto routers = static_cast<int>(bounds.routers);
    if (routers == 0)
        return guaranteed;
    if (routers == 1)
        return std::max(bounds.maxConnections, 1);
    const int free = bounds.maxConnections - guaranteed * routers - usedBeyond;
    return guaranteed + std::max(free, 0) / simultaneousRouters;
}

} // namespace quetzal
