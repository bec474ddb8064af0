#include "http/message/response_reader.h"

#include "http/message/collecting_parser.h"

#include <limits>
#include <utility>

namespace quetzal {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t maxHeadBytes = 65536;
constexpr int minStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int maxStatus = 599;
constexpr int maxInterimResponses = 8;

} // namespace

class response_reader::parser : public collecting_parser<false, response_head>
{
    void on_response_impl(int status, boost::string_view reason, int, error_code &) override
    {
        head.status = status;
        head.reason.assign(reason.data(), reason.size());
    }
};

response_reader::response_reader(bool isHead)
    : m_isHead(isHead)
{
    reset();
}

response_reader::~response_reader() = default;
response_reader::response_reader(response_reader &&) noexcept = default;
response_reader &response_reader::operator=(response_reader &&) noexcept = default;

void response_reader::reset()
{
    m_parser = std::make_unique<parser>();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->eager(true);
    m_parser->skip(m_isHead);
}

std::size_t response_reader::consume(std::string_view bytes)
{
    std::size_t used = 0;
    while (!m_isFaulty && !isComplete() && used < bytes.size()) {
        boost::system::error_code error;
        const std::string_view rest = bytes.substr(used);
        const std::size_t consumed
            = m_parser->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        used += consumed;
        if (error == http::error::need_more) {
            m_isFaulty = hasInvalidStatus()
                || isHeadComplete() && bytes.size() - used > maxChunkFramingBytes;
            break;
        }
        m_isFaulty = static_cast<bool>(error) || hasInvalidStatus();
        if (!m_isFaulty && isComplete() && m_parser->head.status < firstFinalStatus)
            skipInterimResponse();
        else if (consumed == 0)
            break;
    }
    return used;
}

bool response_reader::hasInvalidStatus() const
{
    return isHeadComplete() && (head().status < minStatus || head().status > maxStatus);
}

void response_reader::skipInterimResponse()
{
    if (++m_interimResponses > maxInterimResponses)
        m_isFaulty = true;
    else
        reset();
}

void response_reader::consumeEnd()
{
    if (m_isFaulty || isComplete())
        return;
    if (!isHeadComplete()) {
        m_isFaulty = true;
        return;
    }
    boost::system::error_code error;
    m_parser->put_eof(error);
    m_isFaulty = static_cast<bool>(error) || !m_parser->is_done();
}

bool response_reader::isHeadComplete() const
{
    return m_parser->is_header_done();
}

bool response_reader::isComplete() const
{
    return m_parser->is_done();
}

const response_head &response_reader::head() const
{
    return m_parser->head;
}

std::size_t response_reader::bodyBytes() const
{
    return m_parser->body.size();
}

std::string response_reader::takeBody()
{
    return std::exchange(m_parser->body, {});
}

} // namespace quetzal
