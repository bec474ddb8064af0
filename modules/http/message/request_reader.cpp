#include "http/message/request_reader.h"

#include "http/message/collecting_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace quetzal {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view endOfHead = "\r\n\r\n";
constexpr int versionOneDotZero = 10;

bool hasFoldedField(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos
        || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace

class request_reader::parser : public collecting_parser<true, request_head>
{
public:
    /** Major and minor version as two digits: 11 for HTTP/1.1. */
    int httpVersion = 0;

private:
    void on_request_impl(http::verb, boost::string_view method, boost::string_view target,
                         int version, error_code &) override
    {
        head.method.assign(method.data(), method.size());
        head.target.assign(target.data(), target.size());
        httpVersion = version;
    }
};

request_reader::request_reader(request_limits limits)
    : m_limits(limits)
    , m_parser(std::make_unique<parser>())
{
    constexpr auto maxHeadBytes = std::numeric_limits<std::uint32_t>::max();
    m_parser->header_limit(
        static_cast<std::uint32_t>(std::min<std::size_t>(m_limits.headBytes, maxHeadBytes)));
    m_parser->body_limit(m_limits.bodyBytes);
    m_parser->eager(true);
}

request_reader::~request_reader() = default;
request_reader::request_reader(request_reader &&) noexcept = default;
request_reader &request_reader::operator=(request_reader &&) noexcept = default;

std::size_t request_reader::consume(std::string_view bytes)
{
    if (m_fault != request_fault::None || isComplete())
        return 0;
    return isHeadComplete() ? put(bytes) : consumeHead(bytes);
}

std::size_t request_reader::consumeHead(std::string_view bytes)
{
    std::size_t skipped = 0;
    while (bytes.substr(skipped, 2) == "\r\n")
        skipped += 2;
    const std::string_view rest = bytes.substr(skipped);
    const std::size_t end = rest.find(endOfHead);
    const std::size_t headBytes
        = end == std::string_view::npos ? rest.size() : end + endOfHead.size();
    if (headBytes > m_limits.headBytes) {
        m_fault = request_fault::HeadTooLarge;
        return 0;
    }
    if (end == std::string_view::npos)
        return skipped;
    if (hasFoldedField(rest.substr(0, headBytes))) {
        m_fault = request_fault::Malformed;
        return 0;
    }
    const std::size_t used = put(rest.substr(0, headBytes));
    if (m_fault == request_fault::None && isHeadComplete())
        checkHead();
    if (m_fault != request_fault::None || isComplete())
        return skipped + used;
    return skipped + used + put(rest.substr(used));
}

std::size_t request_reader::put(std::string_view bytes)
{
    std::size_t used = 0;
    while (!isComplete() && used < bytes.size()) {
        boost::system::error_code error;
        const std::string_view rest = bytes.substr(used);
        const std::size_t consumed
            = m_parser->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        used += consumed;
        if (error == http::error::need_more) {
            if (isHeadComplete() && bytes.size() - used > maxChunkFramingBytes)
                m_fault = request_fault::Malformed;
            break;
        }
        if (error == http::error::body_limit)
            m_fault = request_fault::BodyTooLarge;
        else if (error == http::error::header_limit)
            m_fault = request_fault::HeadTooLarge;
        else if (error)
            m_fault = request_fault::Malformed;
        if (error || consumed == 0)
            break;
    }
    return used;
}

void request_reader::checkHead()
{
    request_head &head = m_parser->head;
    head.expectsContinue = equalsIgnoringCase(head.fields.valueOf("Expect"), "100-continue");
    const std::string *coding = head.fields.find("Transfer-Encoding");
    const bool hasInvalidCoding = coding != nullptr
        && (!equalsIgnoringCase(*coding, "chunked") || m_parser->httpVersion == versionOneDotZero);
    const std::string *length = head.fields.find("Content-Length");
    const bool hasInvalidLength = length != nullptr
        && (coding != nullptr || length->empty()
            || !std::all_of(length->begin(), length->end(),
                            [](char digit) { return digit >= '0' && digit <= '9'; }));
    const bool hasInvalidFieldCount = head.fields.count("Content-Length") > 1
        || head.fields.count("Transfer-Encoding") > 1 || head.fields.count("Host") != 1;
    if (hasInvalidCoding || hasInvalidLength || hasInvalidFieldCount)
        m_fault = request_fault::Malformed;
}

bool request_reader::isHeadComplete() const
{
    return m_parser->is_header_done();
}

bool request_reader::isComplete() const
{
    return m_parser->is_done();
}

request_fault request_reader::fault() const
{
    return m_fault;
}

const request_head &request_reader::head() const
{
    return m_parser->head;
}

const std::string &request_reader::body() const
{
    return m_parser->body;
}

std::string request_reader::takeBody()
{
    return std::exchange(m_parser->body, {});
}

} // namespace quetzal
