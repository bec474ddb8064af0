#include "replication/copy/transfer_limiter.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr double bytesPerMegabit = 1e6 / 8.0;

std::size_t maxPendingBytesOf(double linkMbps)
{
    if (linkMbps <= 0.0)
        return transfer_limiter::maxPendingBytes;
    const double bytes
        = linkMbps * bytesPerMegabit * absl::ToDoubleSeconds(transfer_limiter::maxLinkTime);
    return static_cast<std::size_t>(
        std::min(bytes, static_cast<double>(transfer_limiter::maxPendingBytes)));
}

} // namespace

transfer_limiter::transfer_limiter(double linkMbps)
    : m_maxPendingBytes(maxPendingBytesOf(linkMbps))
{
}

bool transfer_limiter::isFull() const
{
    // A copy that is larger than the limit is sent all the same, but alone.
    return *m_pendingBytes > 0 && *m_pendingBytes + m_lastBytes > m_maxPendingBytes;
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
