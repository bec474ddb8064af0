#pragma once

#include "http/message/message_head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

/** Maximum sizes of a request, in bytes. */
struct request_limits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 1048576;

    bool operator==(const request_limits &) const = default;
};

/** Why a request was rejected by the parser. */
enum class request_fault
{
    None,
    /** Not valid HTTP, or framed ambiguously. */
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/**
 * Parses one request incrementally.
 *
 * A request that two parsers could frame differently is malformed, which prevents request
 * smuggling: Content-Length together with Transfer-Encoding, repeated lengths, codings other than
 * "chunked", folded fields, a missing or repeated Host field. After a fault no further bytes are
 * consumed.
 */
class request_reader
{
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(request_reader &&) noexcept;
    request_reader &operator=(request_reader &&) noexcept;

    /** Parses bytes from the start and returns how many were consumed. */
    std::size_t consume(std::string_view bytes);

    /** True once the first line and all header fields are parsed. */
    bool isHeadComplete() const;
    /** True once head and body are parsed. */
    bool isComplete() const;
    /** Returns the first fault found, or None. */
    request_fault fault() const;
    /** Returns the head, which is valid once isHeadComplete() is true. */
    const request_head &head() const;
    /** Returns the part of the body that has been parsed so far. */
    const std::string &body() const;
    /** Returns and removes the body of a complete request. */
    std::string takeBody();

private:
    class parser;
    std::size_t consumeHead(std::string_view bytes);
    std::size_t put(std::string_view bytes);
    void checkHead();

    request_limits m_limits;
    std::unique_ptr<parser> m_parser;
    request_fault m_fault = request_fault::None;
};

} // namespace quetzal
