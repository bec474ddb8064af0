#include "membership/watch/watch_timeouts.h"

#include <algorithm>

namespace quetzal {

namespace {

/** The time between the ends of two routers' watches, unless maxTimeout is shorter. */
constexpr absl::Duration timeoutPerRouter = absl::Milliseconds(300);
constexpr absl::Duration minTimeout = absl::Milliseconds(1800);
constexpr absl::Duration maxTimeout = absl::Seconds(20);

} // namespace

watch_timeouts watchTimeouts(std::size_t routers, std::size_t rank)
{
    const auto routerCount = static_cast<double>(std::max<std::size_t>(routers, 1));
    const absl::Duration regular
        = std::clamp(timeoutPerRouter * routerCount, minTimeout, maxTimeout);
    return {.regular = regular,
            .first = regular * ((static_cast<double>(rank) + 1.0) / routerCount)};
}

} // namespace quetzal
