#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace quetzal {

/**
 * Queue of frames to be written to one peer.
 *
 * If the limit is exceeded, the oldest frames are dropped. A single frame larger than the limit,
 * such as a whole configuration, does not count towards it, and only the newest such frame is kept;
 * otherwise it would displace every small message, or be displaced by any of them.
 */
class outbox
{
public:
    explicit outbox(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /** Appends a frame and drops the oldest ones beyond the limit; returns the number dropped. */
    std::size_t push(std::string frame);
    /** Removes and returns the oldest frame; the outbox must not be empty. */
    std::string pop();
    /** Drops all frames; returns their number. */
    std::size_t clear();

    bool empty() const { return m_frames.empty(); }
    /** Returns the number of queued bytes that count towards the limit. */
    std::size_t bytes() const { return m_bytes; }

private:
    bool isLarge(const std::string &frame) const { return frame.size() > m_maxBytes; }
    void dropOldest(bool large);

    std::deque<std::string> m_frames;
    std::size_t m_bytes = 0;
    std::size_t m_largeFrames = 0;
    std::size_t m_maxBytes;
};

} // namespace quetzal
