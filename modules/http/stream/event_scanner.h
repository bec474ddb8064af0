#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace quetzal {

/**
 * Splits a stream of server-sent events at event boundaries, so that a stream interrupted in the
 * middle of an event can be resumed after the last complete one.
 */
class event_scanner
{
public:
    /** Appends bytes and returns, unchanged, all events that are now complete. */
    std::string add(std::string_view bytes);
    /** Returns and discards the bytes of an incomplete event. */
    std::string takePartialEvent();
    /** Returns the number of bytes of the incomplete event. */
    std::size_t partialBytes() const { return m_buffer.size(); }
    /** Returns the identifier of the last complete event that has one. */
    const std::string &lastId() const { return m_lastId; }

private:
    void readId(std::string_view event);

    std::string m_buffer;
    std::string m_lastId;
};

} // namespace quetzal
