#include "http/http.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <string_view>

using namespace quetzal;

TEST_CASE("a response is parsed incrementally", "[http]")
{
    response_reader reader;

    SECTION("with Content-Length, byte by byte")
    {
        const std::string bytes
            = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nhello";
        std::string input;
        for (const char byte : bytes) {
            input += byte;
            input.erase(0, reader.consume(input));
        }
        CHECK(reader.isComplete());
        CHECK(reader.head().status == 200);
        CHECK(reader.takeBody() == "hello");
        CHECK(reader.head().keepAlive);
    }

    SECTION("in one piece, followed by bytes of another message")
    {
        const std::string_view bytes = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nnoHTTP";
        CHECK(reader.consume(bytes) == bytes.size() - 4);
        CHECK(reader.isComplete());
        CHECK(reader.takeBody() == "no");
    }

    SECTION("with a chunked body")
    {
        const std::string_view bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                       "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        CHECK(reader.consume(bytes) == bytes.size());
        CHECK(reader.isComplete());
        CHECK(reader.takeBody() == "abcde");
    }

    SECTION("without a length the body ends when the connection is closed")
    {
        reader.consume("HTTP/1.1 200 OK\r\n\r\nall of it");
        CHECK_FALSE(reader.isComplete());
        reader.consumeEnd();
        CHECK(reader.isComplete());
        CHECK(reader.takeBody() == "all of it");
    }

    SECTION("a connection closed before the announced length is a fault")
    {
        reader.consume("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall");
        reader.consumeEnd();
        CHECK(reader.isFaulty());
        CHECK_FALSE(reader.isComplete());
    }

    SECTION("bytes that are not a response are a fault")
    {
        reader.consume("nonsense\r\n\r\n");
        CHECK(reader.isFaulty());
    }

    SECTION("a status that is none is a fault, with a body and without one")
    {
        for (const char *status : {"000", "007", "099", "600", "999"}) {
            const std::string line = std::string("HTTP/1.1 ") + status + " Odd\r\n";
            for (const char *rest : {"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nab",
                                     "Transfer-Encoding: chunked\r\n\r\n", "\r\n"}) {
                CAPTURE(status, rest);
                response_reader odd;
                odd.consume(line + rest);
                CHECK(odd.isFaulty());
            }
        }
    }

    SECTION("an interim response is skipped")
    {
        const std::string_view bytes
            = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        reader.consume(bytes);
        CHECK(reader.isComplete());
        CHECK(reader.head().status == 200);
    }

    SECTION("a head that never ends is a fault")
    {
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        std::size_t sent = 0;
        while (!reader.isFaulty() && sent < 1000000) {
            bytes.erase(0, reader.consume(bytes));
            bytes += "X-Filler: 0123456789\r\n";
            sent += 22;
        }
        CHECK(reader.isFaulty());
    }

    SECTION("the head of a chunk, or a trailer, that never ends is a fault")
    {
        const std::string begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const auto [chunk, repeated] = GENERATE(table<std::string, std::string>(
            {{"5;", "xxxxxxxxxxxxxxxx"}, {"2\r\nok\r\n0\r\n", "X-Filler: 0123456789\r\n"}}));
        std::string bytes = begin + chunk;
        std::size_t kept = 0;
        for (int count = 0; count < 100000 && !reader.isFaulty(); ++count) {
            bytes.erase(0, reader.consume(bytes));
            bytes += repeated;
            kept = std::max(kept, bytes.size());
        }
        CHECK(reader.isFaulty());
        CHECK(kept < 20000);
    }

    SECTION("interim responses without end are a fault")
    {
        for (int number = 0; number < 100 && !reader.isFaulty(); ++number)
            reader.consume("HTTP/1.1 100 Continue\r\n\r\n");
        CHECK(reader.isFaulty());
    }
}
