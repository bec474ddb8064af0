#pragma once

#include "http/message/field_collector.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal {

/**
 * The greatest length of the head of a chunk, and of a trailer. They can only be parsed whole, and
 * Boost.Beast does not limit them.
 */
inline constexpr std::size_t maxChunkFramingBytes = 16384;

/**
 * Boost.Beast parser that collects header fields and body; derived classes override the callback
 * for the request or status line.
 */
template <bool isRequest, typename Head>
class collecting_parser : public boost::beast::http::basic_parser<isRequest>
{
public:
    Head head;
    /** Parsed body bytes that were not yet moved out. */
    std::string body;

protected:
    using error_code = boost::system::error_code;

    void on_request_impl(boost::beast::http::verb, boost::string_view, boost::string_view, int,
                         error_code &) override
    {
    }
    void on_response_impl(int, boost::string_view, int, error_code &) override { }
    void on_field_impl(boost::beast::http::field, boost::string_view name, boost::string_view value,
                       error_code &) override
    {
        addField(head.fields, name, value);
    }
    void on_header_impl(error_code &) override { head.keepAlive = this->keep_alive(); }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override { }
    std::size_t on_body_impl(boost::string_view text, error_code &) override
    {
        body.append(text.data(), text.size());
        return text.size();
    }
    void on_chunk_header_impl(std::uint64_t, boost::string_view, error_code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, boost::string_view text,
                                   error_code &error) override
    {
        return on_body_impl(text, error);
    }
    void on_finish_impl(error_code &) override { }
};

} // namespace quetzal
