#include "transport/link/outbox.h"

#include <algorithm>
#include <utility>

namespace quetzal {

std::size_t outbox::push(std::string frame)
{
    std::size_t dropped = 0;
    if (isLarge(frame)) {
        if (m_largeFrames > 0) {
            dropOldest(true);
            ++dropped;
        }
        ++m_largeFrames;
    } else {
        m_bytes += frame.size();
    }
    m_frames.push_back(std::move(frame));
    while (m_bytes > m_maxBytes) {
        dropOldest(false);
        ++dropped;
    }
    return dropped;
}

std::string outbox::pop()
{
    std::string frame = std::move(m_frames.front());
    m_frames.pop_front();
    if (isLarge(frame))
        --m_largeFrames;
    else
        m_bytes -= frame.size();
    return frame;
}

std::size_t outbox::clear()
{
    const std::size_t dropped = m_frames.size();
    m_frames.clear();
    m_bytes = 0;
    m_largeFrames = 0;
    return dropped;
}

void outbox::dropOldest(bool large)
{
    const auto oldest
        = std::find_if(m_frames.begin(), m_frames.end(),
                       [&](const std::string &frame) { return isLarge(frame) == large; });
    if (large)
        --m_largeFrames;
    else
        m_bytes -= oldest->size();
    m_frames.erase(oldest);
}

} // namespace quetzal
