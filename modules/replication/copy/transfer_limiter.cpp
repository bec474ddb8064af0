#include "replication/copy/transfer_limiter.h"

#include <algorithm>

namespace quetzal {

bool transfer_limiter::tryTake(std::size_t bytes, absl::Time now)
{
    const double seconds = std::max(absl::ToDoubleSeconds(now - m_refilledAt), 0.0);
    m_refilledAt = now;
    m_availableBytes = std::min(m_availableBytes + seconds * bytesPerSecond, maxBurstBytes);
    // A copy that is larger than the limit is sent all the same, but nothing for a while after it.
    if (m_availableBytes <= 0.0)
        return false;
    m_availableBytes -= static_cast<double>(bytes);
    return true;
}

} // namespace quetzal
