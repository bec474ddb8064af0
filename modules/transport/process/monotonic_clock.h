#pragma once

#include <absl/time/time.h>

namespace quetzal {

/**
 * Returns the monotonic time of this machine as an absl::Time. It never jumps, and values from
 * before a restart of the machine are not comparable.
 */
absl::Time monotonicNow();

/**
 * Returns a number that increases from one start of a process to the next on the same VM: the wall
 * clock in µs.
 */
std::int64_t newIncarnation();

} // namespace quetzal
