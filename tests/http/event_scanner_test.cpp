#include "http/http.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace quetzal;

TEST_CASE("event_scanner returns complete events", "[http]")
{
    const std::string stream = "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\nid:3\r\n"
                               "data: c\r\n\r\ndata: d\n\n";
    SECTION("from a single piece")
    {
        event_scanner scanner;
        CHECK(scanner.add(stream) == stream);
        CHECK(scanner.lastId() == "3");
        CHECK(scanner.takePartialEvent().empty());
    }

    SECTION("and keeps back an incomplete event")
    {
        event_scanner scanner;
        CHECK(scanner.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
        CHECK(scanner.lastId() == "1");
        CHECK(scanner.takePartialEvent() == "id: 2\nda");
    }

    rc::check("the output does not depend on how the stream is split", [&stream] {
        event_scanner scanner;
        std::string output;
        std::size_t position = 0;
        while (position < stream.size()) {
            const auto length = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
            output += scanner.add(std::string_view(stream).substr(position, length));
            RC_ASSERT(output.empty() || output.ends_with("\n\n") || output.ends_with("\r\n\r\n"));
            position += length;
        }
        RC_ASSERT(output == stream);
        RC_ASSERT(scanner.lastId() == "3");
    });
}
