#pragma once

#include "http/message/message_head.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/**
 * Serializes the response to one request. No body follows the head where HTTP allows none: after
 * HEAD, and with the status codes 1xx, 204 and 304. A recipient would read such bytes as the start
 * of its next response.
 */
class response_writer
{
public:
    /** @param method the method of the request; empty if it is not known, so that no body is sent
     */
    explicit response_writer(std::string_view method);

    /** Returns a complete response with a length. @param close announces that no other follows */
    std::string whole(const response_head &head, std::string_view body, bool close) const;
    /** Returns the head of a response whose body follows in parts. */
    std::string begin(const response_head &head, bool close);
    /** Returns one part of the body; empty if the response has no body. */
    std::string part(std::string_view text) const;
    /** Returns the end of the body; empty if the response has no body. */
    std::string end() const;

private:
    bool mayHaveBody(int status) const;
    /** Returns the length in the head of a complete response; nothing if it has none. */
    std::optional<std::size_t> lengthOf(const response_head &head, std::string_view body) const;

    bool m_isMethodKnown;
    bool m_isHead;
    /** True once a head was written whose body follows in parts. */
    bool m_isChunked = false;
};

} // namespace quetzal
