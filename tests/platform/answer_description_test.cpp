#include "platform/platform.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("the description of a target's answer", "[platform]")
{
    response_head head {.status = 200};
    head.fields.add("X-Attempt-Id", "abc");
    head.fields.add("X-Server-Stamp", "s");
    head.fields.add("Keep-Alive", "timeout=5, max=100");
    head.fields.add("X-Instance-Load", "3,1,8");
    const answer_description answer = platform::describeAnswer(head);
    CHECK(answer.isSuccess());
    CHECK(answer.isSigned);
    CHECK_FALSE(answer.isNotExecuted);
    CHECK(answer.idleTimeout == absl::Seconds(5));
    CHECK(answer.running == 3);
    CHECK(answer.slots == 8);

    SECTION("a rejection and an answer from another target mean that the request did not run")
    {
        response_head refusal {.status = 503};
        CHECK_FALSE(platform::describeAnswer(refusal).isNotExecuted);
        refusal.fields.add("X-Not-Executed", "1");
        CHECK(platform::describeAnswer(refusal).isNotExecuted);
        const answer_description other = platform::describeAnswer({.status = 421});
        CHECK(other.isNotExecuted);
        CHECK(other.isFromOtherTarget);
    }
    SECTION("a target may say that it leaves, or refuse for some time")
    {
        CHECK_FALSE(answer.isTargetLeaving);
        CHECK_FALSE(answer.retryAfter.has_value());
        response_head leaving {.status = 200};
        leaving.fields.add("Server-Leaving", "1");
        leaving.fields.add("Retry-After", "3");
        CHECK(platform::describeAnswer(leaving).isTargetLeaving);
        CHECK_FALSE(platform::describeAnswer(leaving).retryAfter.has_value());
        leaving.status = 421;
        CHECK_FALSE(platform::describeAnswer(leaving).isTargetLeaving);
        leaving.status = 503;
        CHECK(platform::describeAnswer(leaving).retryAfter == absl::Seconds(3));

        for (const auto &[text, seconds] :
             {std::pair("1.5", 1.5), std::pair("1e9", 3600.0), std::pair("inf", 3600.0)}) {
            response_head refusal {.status = 503};
            refusal.fields.add("Retry-After", text);
            CHECK(platform::describeAnswer(refusal).retryAfter == absl::Seconds(seconds));
        }
        for (const char *text : {"0", "-1", "nan", "soon", "", "Sat, 05 Dec 2026 00:00:00 GMT"}) {
            response_head refusal {.status = 503};
            refusal.fields.add("Retry-After", text);
            CHECK_FALSE(platform::describeAnswer(refusal).retryAfter.has_value());
        }
    }
    SECTION("a report with numbers out of range is ignored")
    {
        for (const char *load :
             {"2147483647,2147483647,8", "-1,1,8", "3,-1,8", "3,1,-2147483648", "2147483648,1,8"}) {
            response_head odd {.status = 200};
            odd.fields.add("X-Instance-Load", load);
            CAPTURE(load);
            CHECK_FALSE(platform::describeAnswer(odd).running.has_value());
        }
    }
    SECTION("malformed numbers are ignored")
    {
        response_head malformed {.status = 200};
        malformed.fields.add("X-Instance-Load", "3,x,8");
        malformed.fields.add("Keep-Alive", "timeout=x");
        CHECK_FALSE(platform::describeAnswer(malformed).running.has_value());
        CHECK_FALSE(platform::describeAnswer(malformed).idleTimeout.has_value());
    }
}
