#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace quetzal {

/**
 * Frames that wait to be written to one peer.
 *
 * When the limit is exceeded the oldest frames are dropped. A frame that is larger than the limit
 * by itself, such as a whole configuration, does not count towards it, and only the newest such
 * frame is kept; otherwise it would drive out, or be driven out by, every small message.
 */
class outbox
{
public:
    explicit outbox(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /** Adds a frame and drops the oldest ones beyond the limit; returns how many were dropped. */
    std::size_t push(std::string frame);
    /** Takes the oldest frame; the outbox must not be empty. */
    std::string pop();
    /** Drops every frame; returns how many there were. */
    std::size_t clear();

    bool empty() const { return m_frames.empty(); }
    /** Bytes that count towards the limit. */
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
