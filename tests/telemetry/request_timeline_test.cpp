#include "telemetry/timeline/request_timeline.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("the timeline of a request is extracted from logs", "[telemetry]")
{
    const std::vector<std::string> lines {
        R"(   9.1 b {"timeMs":9100,"vm":"b","event":"request_sent","request":"other","target":"t2"})",
        R"({"timeMs":5000,"vm":"a","event":"configuration","version":3})",
        R"({"timeMs":9500,"vm":"a","event":"request_ended","request":"r","outcome":"failed","status":502})",
        R"({"timeMs":9000,"vm":"a","event":"request_sent","request":"r","target":"t1","backlogMs":12})",
        R"({"timeMs":7000,"vm":"a","event":"store_lost","prefix":"op/"})",
        R"({"timeMs":9200,"vm":"b","event":"stopping"})",
        R"({"timeMs":9600,"vm":"a","event":"stopping"})",
        "no JSON at all",
        "{\"timeMs\":\"odd\""};

    SECTION("in chronological order, with the state of its router")
    {
        const std::vector<std::string> timeline = makeRequestTimeline("r", lines);
        REQUIRE(timeline.size() == 3);
        CHECK(timeline[0] == "-2000 ms  a  store_lost  prefix=op/");
        CHECK(timeline[1] == "+0 ms  a  request_sent  target=t1  backlogMs=12");
        CHECK(timeline[2] == "+500 ms  a  request_ended  outcome=failed  status=502");
    }

    SECTION("a request without log lines has an empty timeline")
    {
        CHECK(makeRequestTimeline("unknown", lines).empty());
    }
}
