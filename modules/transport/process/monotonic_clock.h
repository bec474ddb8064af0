#pragma once

#include <absl/time/time.h>

namespace quetzal {

/** The monotonic time of this machine as an absl::Time; it never jumps and survives no restart. */
absl::Time monotonicNow();

/** A number that grows from one start of a process to the next on the same VM (wall clock, µs). */
std::int64_t newIncarnation();

} // namespace quetzal
