#include "apps/edge/edge_clock.h"

#include <ctime>

namespace quetzal {

namespace {

absl::Time read(clockid_t clock)
{
    timespec now {};
    clock_gettime(clock, &now);
    return absl::TimeFromTimespec(now);
}

} // namespace

absl::Time edgeNow()
{
    return read(CLOCK_BOOTTIME);
}

std::int64_t timeOfDayMs()
{
    return absl::ToUnixMillis(read(CLOCK_REALTIME));
}

} // namespace quetzal
