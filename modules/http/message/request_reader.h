#pragma once

#include "http/message/message_head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace quetzal {

/** Sizes that a sender of requests must keep, in bytes. */
struct request_limits
{
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 1048576;

    bool operator==(const request_limits &) const = default;
};

/** Why a request can't be read. */
enum class request_fault
{
    None,
    /** Not HTTP, or open to two readings. */
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/**
 * Reads one request from bytes as they arrive.
 *
 * Requests that two parsers could frame differently are malformed: a length beside chunks, repeated
 * lengths, codings other than "chunked", folded fields, several Host fields. After a fault no
 * further bytes are taken.
 */
class request_reader
{
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(request_reader &&) noexcept;
    request_reader &operator=(request_reader &&) noexcept;

    /** Reads from the start of these bytes and returns how many were used. */
    std::size_t consume(std::string_view bytes);

    bool isHeadComplete() const;
    bool isComplete() const;
    request_fault fault() const;
    /** The head; valid once it is complete. */
    const request_head &head() const;
    /** The body as far as it has arrived. */
    const std::string &body() const;

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
