#include "apps/edge/edge_clock.h"

#include <ctime>

namespace quetzal {

absl::Time edgeNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::UnixEpoch() + absl::DurationFromTimespec(now);
}

} // namespace quetzal
