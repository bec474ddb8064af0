#include "transport/link/outbox.h"

#include <utility>

namespace quetzal {

std::size_t outbox::push(std::string frame)
{
    std::size_t dropped = 0;
    m_bytes += frame.size();
    m_frames.push_back(std::move(frame));
    while (m_bytes > m_mostBytes && m_frames.size() > 1) {
        pop();
        ++dropped;
    }
    return dropped;
}

std::string outbox::pop()
{
    std::string frame = std::move(m_frames.front());
    m_frames.pop_front();
    m_bytes -= frame.size();
    return frame;
}

std::size_t outbox::clear()
{
    const std::size_t dropped = m_frames.size();
    m_frames.clear();
    m_bytes = 0;
    return dropped;
}

} // namespace quetzal
