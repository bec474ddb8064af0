#include "http/http.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;

namespace {

constexpr char emptyLine[] = "\r\n\r\n";

} // namespace

TEST_CASE("a response has no body where its recipient expects none", "[http]")
{
    response_head head {.status = 504};
    head.fields.add("X-A", "b");

    SECTION("after HEAD, with the length that GET would have")
    {
        const std::string bytes = response_writer("HEAD").whole(head, "text", false);
        CHECK(bytes.ends_with(emptyLine));
        CHECK(bytes.find("Content-Length: 4\r\n") != std::string::npos);

        AND_THEN("a length that the head states is kept")
        {
            head.fields.add("Content-Length", "77");
            const std::string stated = response_writer("HEAD").whole(head, {}, false);
            CHECK(stated.find("Content-Length: 77\r\n") != std::string::npos);
            CHECK(stated.find("Content-Length: 0") == std::string::npos);
        }
    }

    SECTION("after a request whose method was not read")
    {
        const std::string bytes = response_writer({}).whole(head, "text", true);
        CHECK(bytes.ends_with(emptyLine));
        CHECK(bytes.find("Content-Length: 0\r\n") != std::string::npos);
    }

    SECTION("after HEAD on a route whose answers come in parts")
    {
        response_writer writer("HEAD");
        CHECK(writer.begin({.status = 200}, false).ends_with(emptyLine));
        CHECK(writer.part("text").empty());
        CHECK(writer.end().empty());
    }

    SECTION("with a status that has none")
    {
        for (const int status : {204, 304}) {
            response_writer writer("GET");
            const std::string begun = writer.begin({.status = status}, false);
            CHECK(begun.find("Transfer-Encoding") == std::string::npos);
            CHECK(writer.part("text").empty());
            CHECK(writer.end().empty());
            const std::string whole = writer.whole({.status = status}, "text", false);
            CHECK(whole.ends_with(emptyLine));
            CHECK(whole.find("Content-Length") == std::string::npos);
        }
    }

    SECTION("and the whole body otherwise")
    {
        response_writer writer("GET");
        CHECK(writer.whole(head, "text", false).ends_with("\r\n\r\ntext"));
        CHECK(writer.begin({.status = 200}, false).find("chunked") != std::string::npos);
        CHECK(writer.part("text") == "4\r\ntext\r\n");
        CHECK(writer.end() == "0\r\n\r\n");
    }
}
