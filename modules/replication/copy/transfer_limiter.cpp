#include "replication/copy/transfer_limiter.h"

namespace quetzal {

bool transfer_limiter::isFull() const
{
    // A copy that is larger than the limit is sent all the same, but alone.
    return *m_pendingBytes > 0 && *m_pendingBytes + m_lastBytes > maxPendingBytes;
}

transfer_limiter::transfer transfer_limiter::tryBegin(std::size_t bytes)
{
    m_lastBytes = bytes;
    if (isFull())
        return nullptr;
    *m_pendingBytes += bytes;
    const auto release = [pending = m_pendingBytes, bytes](const char *) {
        *pending -= bytes;
    };
    return std::shared_ptr<const char>("", release);
}

} // namespace quetzal
