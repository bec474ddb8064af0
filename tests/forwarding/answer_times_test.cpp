#include "forwarding/node/answer_times.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("the expected time of an answer", "[shutdown]")
{
    answer_times times;
    CHECK_FALSE(times.expected("a", 1).has_value());
    times.onAnswered("a", 0, absl::Seconds(1));
    CHECK(times.expected("a", 0) == absl::Seconds(1));
    CHECK_FALSE(times.expected("b", 0).has_value());

    SECTION("is near the longer ones of many answers")
    {
        for (int round = 0; round < 200; ++round)
            times.onAnswered("a", 0, round % 5 == 0 ? absl::Seconds(6) : absl::Seconds(1));
        CHECK(*times.expected("a", 0) > absl::Seconds(3.5));
        CHECK(*times.expected("a", 0) < absl::Seconds(6));
    }

    SECTION("decreases once answers are faster")
    {
        times.onAnswered("a", 0, absl::Seconds(10));
        for (int round = 0; round < 200; ++round)
            times.onAnswered("a", 0, absl::Seconds(1));
        CHECK(*times.expected("a", 0) < absl::Seconds(1.2));
    }

    SECTION("is in proportion to the cost")
    {
        times.onAnswered("model", 1000, absl::Seconds(2));
        CHECK(times.expected("model", 3000) == absl::Seconds(6));
    }
}
