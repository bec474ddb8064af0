#pragma once

#include <string>
#include <string_view>

namespace quetzal {

/**
 * Finds whole events in a stream of server-sent events, so that a stream that breaks off in the
 * middle of an event can go on behind the last whole one.
 */
class event_scanner
{
public:
    /** Adds bytes and returns the events that are whole now, unchanged. */
    std::string add(std::string_view bytes);
    /** The bytes of an event that is not whole yet; forgotten by the call. */
    std::string takePartialEvent();
    /** The identifier of the last whole event that has one. */
    const std::string &lastId() const { return m_lastId; }

private:
    void readId(std::string_view event);

    std::string m_buffer;
    std::string m_lastId;
};

} // namespace quetzal
