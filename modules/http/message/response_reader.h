#pragma once

#include "http/message/message_head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

/** Reads one response from bytes as they arrive; interim responses (1xx) are passed over. */
class response_reader
{
public:
    /** isHead: the response to a HEAD request, which has no body. */
    explicit response_reader(bool isHead = false);
    ~response_reader();
    response_reader(response_reader &&) noexcept;
    response_reader &operator=(response_reader &&) noexcept;

    /** Reads from the start of these bytes and returns how many were used. */
    std::size_t consume(std::string_view bytes);
    /** The sender closed the connection in order, which ends a body without a length. */
    void consumeEnd();

    bool isHeadComplete() const;
    bool isComplete() const;
    /** True when the bytes are no response, or the connection ended too early. */
    bool isFaulty() const { return m_isFaulty; }
    /** The head; valid once it is complete. */
    const response_head &head() const;
    /** The bytes of the body that arrived since the last call. */
    std::string takeBody();

private:
    class parser;
    void reset();

    bool m_isHead;
    std::unique_ptr<parser> m_parser;
    bool m_isFaulty = false;
};

} // namespace quetzal
