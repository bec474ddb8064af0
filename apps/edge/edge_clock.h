#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal {

/** The time since the VM started, which also counts while the VM is suspended. */
absl::Time edgeNow();

/**
 * The time of day, for logs only, in Unix milliseconds.
 *
 * absl::Now() is not used: it extrapolates from the processor's cycle counter and may be off by a
 * second where a process does not run all the time.
 */
std::int64_t timeOfDayMs();

} // namespace quetzal
