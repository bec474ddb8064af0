#include "standins/engine/engine_model.h"

#include <catch2/catch.hpp>

using namespace quetzal::standins;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

engine_options options(bool startsWarm)
{
    engine_options result;
    result.id = "e1";
    result.slots = 2;
    result.coldSlots = 1;
    result.coldTime = absl::Seconds(5);
    result.warmAnswers = 2;
    result.startsWarm = startsWarm;
    result.maxQueued = 1;
    result.tokensPerSecond = 10.0;
    result.timeToFirstToken = absl::Seconds(1);
    result.loadLag = absl::Seconds(2);
    return result;
}

submit_result submit(engine_model &engine, const std::string &id, int tokens, absl::Time now)
{
    const submit_result verdict = engine.submit(id, "w/" + id, tokens, now);
    engine.attach(id, now);
    return verdict;
}

} // namespace

SCENARIO("a warm engine fills its slots, then queues, then rejects")
{
    engine_model engine(options(true), start);
    REQUIRE(submit(engine, "a", 11, start) == submit_result::Accepted);
    REQUIRE(submit(engine, "b", 21, start) == submit_result::Accepted);
    REQUIRE(submit(engine, "c", 11, start) == submit_result::Accepted);

    THEN("a further request is rejected and not logged")
    {
        CHECK(submit(engine, "d", 1, start) == submit_result::Overloaded);
        CHECK(engine.log().size() == 3);
        CHECK(engine.counts().peakRunning == 2);
    }

    WHEN("time passes")
    {
        THEN("tokens become ready at the configured rate after the time to first token")
        {
            CHECK(engine.progress("a", start + absl::Milliseconds(999)).tokensReady == 0);
            CHECK(engine.progress("a", start + absl::Seconds(1)).tokensReady == 1);
            CHECK(engine.progress("a", start + absl::Milliseconds(1550)).tokensReady == 6);
        }
        THEN("the queued request starts as soon as a slot is free")
        {
            CHECK(engine.progress("a", start + absl::Seconds(3)).phase == execution_phase::Done);
            CHECK(engine.progress("c", start + absl::Seconds(3)).tokensReady == 1);
            CHECK(engine.progress("c", start + absl::Seconds(4)).phase == execution_phase::Done);
            CHECK(engine.counts().busySlotTime == absl::Seconds(2 + 3 + 2));
            CHECK(engine.counts().availableSlotTime == absl::Seconds(2 * 4));
        }
    }

    WHEN("the load is requested")
    {
        THEN("it is as old as the load lag")
        {
            CHECK(engine.reportedLoad(start + absl::Seconds(1)) == engine_load {0, 0});
            CHECK(engine.reportedLoad(start + absl::Seconds(2)) == engine_load {2, 1});
        }
    }
}

SCENARIO("a cold engine crashes when its limit of requests is exceeded")
{
    engine_model engine(options(false), start);
    const std::string instance = engine.instance();
    REQUIRE(submit(engine, "a", 100, start) == submit_result::Accepted);

    WHEN("a second request arrives while it is cold")
    {
        CHECK(submit(engine, "b", 1, start + absl::Seconds(1)) == submit_result::Crashed);

        THEN("all requests are lost, the instance id changes, and both executions stay in the log")
        {
            CHECK(engine.progress("a", start + absl::Seconds(1)).phase == execution_phase::Broken);
            CHECK(engine.instance() != instance);
            CHECK(engine.counts().coldLimitExceeded == 1);
            REQUIRE(engine.log().size() == 2);
            CHECK(engine.log()[0].phase == execution_phase::Broken);
            CHECK(engine.log()[1].phase == execution_phase::Broken);
        }
    }

    WHEN("it has completed enough answers and the cold time has passed")
    {
        engine.cancel("a", start);
        submit(engine, "b", 1, start);
        submit(engine, "c", 1, start + absl::Seconds(2));

        THEN("it is warm only after both the cold time and the answers")
        {
            CHECK(engine.isCold(start + absl::Milliseconds(4999)));
            CHECK(engine.isCold(start + absl::Seconds(1)));
            REQUIRE(engine.progress("c", start + absl::Seconds(5)).phase == execution_phase::Done);
            CHECK_FALSE(engine.isCold(start + absl::Seconds(5)));
            engine.reportedLoad(start + absl::Seconds(6));
            CHECK(engine.counts().availableSlotTime == absl::Seconds(5 + 2));
        }
    }

    WHEN("it completes no answers")
    {
        THEN("it stays cold")
        {
            CHECK(engine.isCold(start + absl::Seconds(60)));
        }
    }
}

SCENARIO("a request without a connection continues for the detach timeout and can be resumed")
{
    engine_model engine(options(true), start);
    submit(engine, "a", 500, start);
    engine.detach("a", start + absl::Seconds(2));

    THEN("it is cancelled after the detach timeout")
    {
        CHECK(engine.isResumable("a", start + absl::Milliseconds(11999)));
        CHECK_FALSE(engine.isResumable("a", start + absl::Seconds(12)));
        CHECK(engine.log().front().phase == execution_phase::Cancelled);
    }
    THEN("a new connection prevents the cancellation")
    {
        engine.attach("a", start + absl::Seconds(11));
        CHECK(engine.progress("a", start + absl::Seconds(51)).phase == execution_phase::Done);
        CHECK(engine.log().front().tokens == 500);
    }
    THEN("the id of a request in progress is logged as a second execution")
    {
        CHECK(engine.submit("a", "w/a", 5, start) == submit_result::Duplicate);
        CHECK(engine.log().size() == 2);
    }
}

SCENARIO("orders with a stale fencing number are rejected only if fencing is enabled")
{
    const bool fencing = GENERATE(true, false);
    engine_options checked = options(true);
    checked.fencing = fencing;
    engine_model engine(checked, start);
    CHECK(engine.order(7, start));
    CHECK(engine.order(7, start));
    CHECK(engine.order(6, start) == !fencing);
}
