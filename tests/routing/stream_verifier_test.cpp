#include "routing/answer/stream_verifier.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

std::string event(int number, const std::string &id)
{
    return "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + id + "\"}\n\n";
}

const std::string done = "data: [DONE]\n\n";

} // namespace

SCENARIO("only complete events of the expected request are forwarded, once each")
{
    stream_verifier verifier("r1");
    const std::string first = event(0, "r1");

    SECTION("events that arrive in pieces")
    {
        CHECK(verifier.feed(first.substr(0, 9)).empty());
        CHECK(verifier.feed(first.substr(9) + event(1, "r1") + done)
              == first + event(1, "r1") + done);
        CHECK(verifier.state() == stream_state::Complete);
        CHECK(verifier.units() == 2.0);
    }
    SECTION("an event of another request")
    {
        CHECK(verifier.feed(event(0, "r2")).empty());
        CHECK(verifier.state() == stream_state::Mismatched);
    }
    SECTION("a stream that breaks within an event and is resumed with a duplicate event")
    {
        CHECK(verifier.feed(first + event(1, "r1").substr(0, 12)) == first);
        verifier.beginResumption();
        CHECK(verifier.nextEvent() == 1);
        CHECK(verifier.feed(first + event(1, "r1") + done) == event(1, "r1") + done);
    }
    SECTION("a missing event requires a resumption")
    {
        CHECK(verifier.feed(first + event(2, "r1")) == first);
        CHECK(verifier.state() == stream_state::Gap);
        verifier.beginResumption();
        CHECK(verifier.feed(event(1, "r1") + event(2, "r1")) == event(1, "r1") + event(2, "r1"));
    }
    SECTION("a malformed event")
    {
        CHECK(verifier.feed("id: 0\ndata: {\n\n").empty());
        CHECK(verifier.state() == stream_state::Malformed);
    }
    SECTION("an event without a number is not dropped silently")
    {
        CHECK(verifier.feed("data: {\"id\":\"r1\"}\n\n").empty());
        CHECK(verifier.state() == stream_state::Malformed);
    }
    SECTION("a comment keeps the stream open")
    {
        CHECK(verifier.feed(": ping\n\n" + first) == first);
        CHECK(verifier.state() == stream_state::Open);
    }
}
