#pragma once

#include <string>
#include <string_view>

namespace quetzal {

/** Tells whether a stream of server-sent events has stopped inside an event; keeps four bytes. */
class event_boundary
{
public:
    void add(std::string_view bytes);
    /** True if bytes came after the last blank line, which ends an event. */
    bool isInsideEvent() const;

private:
    std::string m_tail;
};

} // namespace quetzal
