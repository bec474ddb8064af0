#include "http/http.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace quetzal;

namespace {

request_reader readAll(std::string_view bytes)
{
    request_reader reader({.headBytes = 400, .bodyBytes = 20});
    std::string input;
    for (const char byte : bytes) {
        input += byte;
        input.erase(0, reader.consume(input));
    }
    return reader;
}

request_fault faultOf(std::string_view bytes)
{
    return readAll(bytes).fault();
}

} // namespace

TEST_CASE("a request is parsed incrementally", "[http]")
{
    SECTION("without a body")
    {
        const request_reader reader = readAll("GET /a/b?c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n");
        CHECK(reader.isComplete());
        CHECK(reader.head().method == "GET");
        CHECK(reader.head().target == "/a/b?c");
        CHECK(reader.head().fields.valueOf("x-a") == "1");
        CHECK(reader.head().keepAlive);
    }

    SECTION("with Content-Length")
    {
        const request_reader reader
            = readAll("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
        CHECK(reader.isComplete());
        CHECK(reader.body() == "hello");
    }

    SECTION("with a chunked body")
    {
        const request_reader reader = readAll("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                              "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        CHECK(reader.isComplete());
        CHECK(reader.body() == "abc");
    }

    SECTION("bytes of the next request are not consumed")
    {
        request_reader reader({});
        const std::string_view bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /next";
        CHECK(reader.consume(bytes) == bytes.size() - 9);
        CHECK(reader.isComplete());
    }
}

TEST_CASE("an ambiguously framed request is malformed", "[http]")
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    const auto malformed = request_fault::Malformed;

    SECTION("Content-Length together with Transfer-Encoding")
    {
        CHECK(faultOf(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
              == malformed);
        CHECK(faultOf(post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
              == malformed);
    }
    SECTION("repeated, listed or signed Content-Length")
    {
        CHECK(faultOf(post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n") == malformed);
        CHECK(faultOf(post + "Content-Length: 3, 3\r\n\r\n") == malformed);
        CHECK(faultOf(post + "Content-Length: +3\r\n\r\n") == malformed);
    }
    SECTION("transfer codings other than chunked")
    {
        CHECK(faultOf(post + "Transfer-Encoding: xchunked\r\n\r\n") == malformed);
        CHECK(faultOf(post + "Transfer-Encoding: gzip, chunked\r\n\r\n") == malformed);
        CHECK(faultOf(post + "Transfer-Encoding: identity\r\n\r\n") == malformed);
    }
    SECTION("folded fields and spaces before the colon")
    {
        CHECK(faultOf(post + "X-A: 1\r\n 2\r\n\r\n") == malformed);
        CHECK(faultOf(post + "X-A : 1\r\n\r\n") == malformed);
    }
    SECTION("missing or repeated Host")
    {
        CHECK(faultOf("GET / HTTP/1.1\r\n\r\n") == malformed);
        CHECK(faultOf(post + "Host: other\r\n\r\n") == malformed);
    }
}

TEST_CASE("the head of a chunk, or a trailer, that never ends is a fault of the request", "[http]")
{
    request_reader reader({.headBytes = 8192, .bodyBytes = 100000});
    const auto [chunk, repeated] = GENERATE(table<std::string, std::string>(
        {{"5;", "xxxxxxxxxxxxxxxx"}, {"2\r\nok\r\n0\r\n", "X-Filler: 0123456789\r\n"}}));
    std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk;
    for (int count = 0; count < 100000 && reader.fault() == request_fault::None; ++count) {
        bytes.erase(0, reader.consume(bytes));
        bytes += repeated;
    }
    CHECK(reader.fault() == request_fault::Malformed);
    CHECK(bytes.size() < 20000);
}

TEST_CASE("the fault tells which size limit a request exceeds", "[http]")
{
    SECTION("head")
    {
        const std::string longField(500, 'a');
        CHECK(faultOf("GET / HTTP/1.1\r\nHost: h\r\nX-A: " + longField + "\r\n\r\n")
              == request_fault::HeadTooLarge);
    }
    SECTION("body, with Content-Length and in chunks")
    {
        CHECK(faultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n")
              == request_fault::BodyTooLarge);
        CHECK(faultOf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "15\r\n012345678901234567890\r\n0\r\n\r\n")
              == request_fault::BodyTooLarge);
    }
}
