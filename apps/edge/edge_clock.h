#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal {

/** Returns the time since the VM booted, including time during which the VM was suspended. */
absl::Time edgeNow();

/**
 * Returns the wall-clock time in Unix milliseconds, for logs and for times in the store. It may
 * differ between VMs, and jump.
 *
 * absl::Now() is not used: it extrapolates from the processor's cycle counter and may be off by a
 * second if the process is not scheduled continuously.
 */
std::int64_t timeOfDayMs();

} // namespace quetzal
