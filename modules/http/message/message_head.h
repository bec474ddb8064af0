#pragma once

#include "http/message/header_fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Request line and header fields of a request. */
struct request_head
{
    std::string method;
    std::string target;
    header_fields fields;
    /** False if the sender closes the connection after this exchange. */
    bool keepAlive = true;
    /** True if the sender waits for "100 Continue" before it sends the body. */
    bool expectsContinue = false;

    bool operator==(const request_head &) const = default;
};

/** Status line and header fields of a response. */
struct response_head
{
    int status = 0;
    /** Reason phrase; toBytes() writes the standard one if this is empty. */
    std::string reason;
    header_fields fields;
    /** False if the sender closes the connection after this exchange. */
    bool keepAlive = true;

    bool operator==(const response_head &) const = default;
};

/** Returns the standard reason phrase of a status code, or "Status" if there is none. */
std::string_view reasonPhrase(int status);

/** Serializes a request head; adds a Content-Length field if contentLength is given. */
std::string toBytes(const request_head &head, std::optional<std::size_t> contentLength);

/** How the end of a response body is marked. */
enum class body_framing
{
    Length,
    Chunked,
};

/** How a response is framed on its connection. */
struct response_framing
{
    body_framing framing = body_framing::Length;
    /**
     * Body length in bytes, used with body_framing::Length only; nothing if the head states it, or
     * if the response has no body.
     */
    std::optional<std::size_t> length = 0;
    /** Adds "Connection: close": the connection is closed after this response. */
    bool close = false;
};

/** Serializes a response head with the fields that its framing needs. */
std::string toBytes(const response_head &head, const response_framing &framing);

/**
 * Encodes one chunk of a chunked body. Empty text yields no bytes, because an empty chunk would end
 * the body.
 */
std::string toChunk(std::string_view text);

/** Final chunk of a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace quetzal
