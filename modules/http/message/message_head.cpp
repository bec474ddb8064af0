#include "http/message/message_head.h"

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <ostream>

namespace quetzal {

namespace {

template <typename... Texts>
void append(std::string &bytes, const Texts &...texts)
{
    (bytes.append(texts), ...);
}

std::string toHex(std::size_t number)
{
    std::array<char, 2 * sizeof number> digits {};
    constexpr int base = 16;
    const auto end = std::to_chars(digits.begin(), digits.end(), number, base).ptr;
    return {digits.begin(), end};
}

void appendFields(std::string &bytes, const header_fields &fields)
{
    for (const header_field &field : fields)
        append(bytes, field.name, ": ", field.value, "\r\n");
}

} // namespace

std::string_view reasonPhrase(int status)
{
    const auto known = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    if (known == boost::beast::http::status::unknown)
        return "Status";
    const auto text = boost::beast::http::obsolete_reason(known);
    return {text.data(), text.size()};
}

std::string toBytes(const request_head &head, std::optional<std::size_t> contentLength)
{
    std::string bytes;
    append(bytes, head.method, " ", head.target, " HTTP/1.1\r\n");
    appendFields(bytes, head.fields);
    if (contentLength)
        append(bytes, "Content-Length: ", std::to_string(*contentLength), "\r\n");
    bytes += "\r\n";
    return bytes;
}

std::string toBytes(const response_head &head, const response_framing &framing)
{
    const std::string_view reason
        = head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    std::string bytes;
    append(bytes, "HTTP/1.1 ", std::to_string(head.status), " ", reason, "\r\n");
    appendFields(bytes, head.fields);
    if (framing.framing == body_framing::Chunked)
        bytes += "Transfer-Encoding: chunked\r\n";
    else if (framing.length)
        append(bytes, "Content-Length: ", std::to_string(*framing.length), "\r\n");
    if (framing.close)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    return bytes;
}

std::string toChunk(std::string_view text)
{
    if (text.empty())
        return {};
    std::string bytes = toHex(text.size());
    append(bytes, "\r\n", text, "\r\n");
    return bytes;
}

} // namespace quetzal
