#pragma once

#include <cstddef>
#include <memory>

namespace quetzal {

/**
 * Limits the bytes of the copies that a router is sending, so that many routers that start at the
 * same time do not fill the memory of one. Those that are refused ask another router.
 */
class transfer_limiter
{
public:
    /** The bytes that may be on the way at the same time. */
    static constexpr std::size_t maxPendingBytes = 4000000;

    /** Holds the bytes of one copy until it is destroyed. */
    using transfer = std::shared_ptr<const void>;

    /** True if another copy of the size of the last one would be refused. */
    bool isFull() const;
    /** Begins to send a copy; null if too many bytes are on the way. */
    transfer tryBegin(std::size_t bytes);

private:
    /** The bytes on the way; a transfer may outlive the limiter. */
    std::shared_ptr<std::size_t> m_pendingBytes = std::make_shared<std::size_t>(0);
    std::size_t m_lastBytes = 0;
};

} // namespace quetzal
