#pragma once

#include "http/message/message_head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

/** Parses one response incrementally; a few interim responses (1xx) are skipped. */
class response_reader
{
public:
    /** @param isHead true if the response answers a HEAD request and so has no body. */
    explicit response_reader(bool isHead = false);
    ~response_reader();
    response_reader(response_reader &&) noexcept;
    response_reader &operator=(response_reader &&) noexcept;

    /** Parses bytes from the start and returns how many were consumed. */
    std::size_t consume(std::string_view bytes);
    /** Must be called when the sender closes the connection cleanly; ends a body without length. */
    void consumeEnd();

    /** True once the first line and all header fields are parsed. */
    bool isHeadComplete() const;
    /** True once head and body are parsed. */
    bool isComplete() const;
    /** True if the bytes are not a valid response, or the connection ended before its end. */
    bool isFaulty() const { return m_isFaulty; }
    /** Returns the head, which is valid once isHeadComplete() is true. */
    const response_head &head() const;
    /** Returns the number of body bytes that takeBody() would return. */
    std::size_t bodyBytes() const;
    /** Returns and removes the body bytes that were parsed since the last call. */
    std::string takeBody();

private:
    class parser;
    void reset();
    void skipInterimResponse();
    /** True if the head is complete and its status is none that HTTP defines. */
    bool hasInvalidStatus() const;

    bool m_isHead;
    std::unique_ptr<parser> m_parser;
    bool m_isFaulty = false;
    int m_interimResponses = 0;
};

} // namespace quetzal
