#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <memory>

namespace quetzal {

/**
 * Limits the bytes of the copies that a router is sending, so that many routers that start at the
 * same time fill neither the memory nor the link of one. Those that are refused ask another router.
 */
class transfer_limiter
{
public:
    /** The bytes that may be on the way at the same time. */
    static constexpr std::size_t maxPendingBytes = 4000000;

    /** How long the link may need for the bytes on the way; routers wait twice that for a copy. */
    static constexpr absl::Duration maxLinkTime = absl::Milliseconds(200);

    /** @param linkMbps the rate of the link in megabits a second; 0 if it is not known */
    explicit transfer_limiter(double linkMbps = 0.0);

    /** Holds the bytes of one copy until it is destroyed. */
    using transfer = std::shared_ptr<const void>;

    /** True if another copy of the size of the last one would be refused. */
    bool isFull() const;
    /** Begins to send a copy; null if too many bytes are on the way. */
    transfer tryBegin(std::size_t bytes);

private:
    std::size_t m_maxPendingBytes;
    /** The bytes on the way; a transfer may outlive the limiter. */
    std::shared_ptr<std::size_t> m_pendingBytes = std::make_shared<std::size_t>(0);
    std::size_t m_lastBytes = 0;
};

} // namespace quetzal
