#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/**
 * Limits the bytes that a router sends in copies, so that many routers that start at the same time
 * do not occupy one that serves callers. Those that are refused ask another router.
 */
class transfer_limiter
{
public:
    /** The bytes that may be sent at once after a pause. */
    static constexpr double maxBurstBytes = 4e6;
    static constexpr double bytesPerSecond = 16e6;

    /** Takes the bytes of one copy; false if the limit is reached. */
    bool tryTake(std::size_t bytes, absl::Time now);

private:
    double m_availableBytes = maxBurstBytes;
    absl::Time m_refilledAt = absl::InfinitePast();
};

} // namespace quetzal
