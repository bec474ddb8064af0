#include "transport/process/monotonic_clock.h"

#include <absl/time/clock.h>

#include <chrono>

namespace quetzal {

absl::Time monotonicNow()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch() + absl::FromChrono(sinceBoot);
}

std::int64_t newIncarnation()
{
    return absl::ToUnixMicros(absl::Now());
}

} // namespace quetzal
