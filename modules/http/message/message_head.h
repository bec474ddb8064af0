#pragma once

#include "http/message/header_fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** The first line and the fields of a request. */
struct request_head
{
    std::string method;
    std::string target;
    header_fields fields;
    /** False when the sender closes the connection after this exchange. */
    bool keepAlive = true;
    /** True when the sender waits for "100 Continue" before it sends the body. */
    bool expectsContinue = false;

    bool operator==(const request_head &) const = default;
};

/** The first line and the fields of a response. */
struct response_head
{
    int status = 0;
    std::string reason;
    header_fields fields;
    bool keepAlive = true;

    bool operator==(const response_head &) const = default;
};

/** The standard reason phrase of a status; "Status" where there is none. */
std::string_view reasonPhrase(int status);

/** The bytes of a request's head; a length is written when contentLength is given. */
std::string toBytes(const request_head &head, std::optional<std::size_t> contentLength);

/** How the end of a response's body is marked. */
enum class body_framing
{
    Length,
    Chunked,
};

/** How a response is written to its caller. */
struct response_framing
{
    body_framing framing = body_framing::Length;
    std::size_t length = 0;
    /** Tells the caller that the connection is closed after this response. */
    bool close = false;
};

/** The bytes of a response's head. */
std::string toBytes(const response_head &head, const response_framing &framing);

/** One chunk of a chunked body; empty text gives no bytes, because a chunk of none ends the body.
 */
std::string toChunk(std::string_view text);

/** The chunk that ends a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace quetzal
