#include "http/message/response_writer.h"

namespace quetzal {

namespace {

constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

/** True if responses with this status never have a body. */
bool isBodiless(int status)
{
    return status < firstFinalStatus || status == statusNoContent || status == statusNotModified;
}

} // namespace

response_writer::response_writer(std::string_view method)
    : m_isMethodKnown(!method.empty())
    , m_isHead(method == "HEAD")
{
}

bool response_writer::mayHaveBody(int status) const
{
    return m_isMethodKnown && !m_isHead && !isBodiless(status);
}

std::optional<std::size_t> response_writer::lengthOf(const response_head &head,
                                                     std::string_view body) const
{
    const bool isStatedByHead = head.fields.find("Content-Length") != nullptr;
    const bool isUnknown = m_isHead && body.empty();
    if (isBodiless(head.status) || isStatedByHead || isUnknown)
        return std::nullopt;
    return m_isMethodKnown ? body.size() : 0;
}

std::string response_writer::whole(const response_head &head, std::string_view body,
                                   bool close) const
{
    std::string bytes = toBytes(
        head, {.framing = body_framing::Length, .length = lengthOf(head, body), .close = close});
    if (mayHaveBody(head.status))
        bytes += body;
    return bytes;
}

std::string response_writer::begin(const response_head &head, bool close)
{
    m_isChunked = mayHaveBody(head.status);
    const auto framing = isBodiless(head.status) ? body_framing::Length : body_framing::Chunked;
    return toBytes(head, {.framing = framing, .length = std::nullopt, .close = close});
}

std::string response_writer::part(std::string_view text) const
{
    return m_isChunked ? toChunk(text) : std::string();
}

std::string response_writer::end() const
{
    return std::string(m_isChunked ? lastChunk : std::string_view());
}

} // namespace quetzal
