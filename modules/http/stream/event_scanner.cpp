#include "http/stream/event_scanner.h"

#include <utility>

namespace quetzal {

namespace {

/** Returns the length of the event delimiter at this position, or 0 if there is none. */
std::size_t blankLineLengthAt(std::string_view text, std::size_t position)
{
    for (const std::string_view end : {"\n\n", "\r\n\r\n"}) {
        if (text.substr(position, end.size()) == end)
            return end.size();
    }
    return 0;
}

} // namespace

std::string event_scanner::add(std::string_view bytes)
{
    constexpr std::size_t maxEventEndBytes = 4;
    std::size_t position
        = m_buffer.size() < maxEventEndBytes ? 0 : m_buffer.size() - maxEventEndBytes;
    m_buffer.append(bytes);
    std::size_t completeEnd = 0;
    while (position < m_buffer.size()) {
        const std::size_t length = blankLineLengthAt(m_buffer, position);
        if (length == 0) {
            ++position;
            continue;
        }
        position += length;
        readId(std::string_view(m_buffer).substr(completeEnd, position - completeEnd));
        completeEnd = position;
    }
    std::string completeEvents = m_buffer.substr(0, completeEnd);
    m_buffer.erase(0, completeEnd);
    return completeEvents;
}

void event_scanner::readId(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastId = line;
    }
}

std::string event_scanner::takePartialEvent()
{
    return std::exchange(m_buffer, {});
}

} // namespace quetzal
