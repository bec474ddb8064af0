#include "http/stream/event_boundary.h"

#include <algorithm>
#include <cstddef>

namespace quetzal {

void event_boundary::add(std::string_view bytes)
{
    constexpr std::size_t longestEndBytes = 4;
    m_tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), longestEndBytes)));
    if (m_tail.size() > longestEndBytes)
        m_tail.erase(0, m_tail.size() - longestEndBytes);
}

bool event_boundary::isInsideEvent() const
{
    return !m_tail.empty() && !m_tail.ends_with("\n\n") && !m_tail.ends_with("\r\n\r\n");
}

} // namespace quetzal
