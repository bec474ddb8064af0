#include "simulated_target.h"
#include "targets/targets.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const absl::Time begin = absl::UnixEpoch() + absl::Hours(1);

absl::Time after(double seconds)
{
    return begin + absl::Seconds(seconds);
}

/** Returns the admission of a warm target whose instance "a" started an hour ago. */
target_admission warmTarget()
{
    target_admission admission({.target = "engine-1"}, {.warmLimit = 8, .coldLimit = 1}, begin);
    admission.observeLoad({.instance = "a", .uptime = absl::Hours(1)}, begin);
    for (int answer = 0; answer < 7; ++answer)
        admission.observeEvidence(target_evidence::Answered, "a", begin);
    REQUIRE(admission.phase(begin) == target_phase::Warm);
    return admission;
}

void answerFrom(target_admission &admission, const std::string &instance, double startedAt,
                double endedAt)
{
    admission.observe({.evidence = target_evidence::Answered,
                       .instance = instance,
                       .startedAt = after(startedAt)},
                      after(endedAt));
}

} // namespace

SCENARIO("a new target goes through slow start")
{
    target_admission admission({.target = "engine-1"}, {.warmLimit = 8, .coldLimit = 1}, begin);
    CHECK(admission.phase(begin) == target_phase::Unknown);
    CHECK(admission.limit(begin) == 1);
    answerFrom(admission, "a", 0, 0);
    CHECK(admission.limit(begin) == 1);
    admission.observeLoad({.instance = "a", .uptime = absl::Seconds(1)}, begin);

    WHEN("requests succeed")
    {
        THEN("the limit doubles with each round of answers")
        {
            for (const int limit : {2, 2, 4, 4, 4, 4, 8}) {
                admission.observeEvidence(target_evidence::Answered, "a", begin);
                CHECK(admission.limit(begin) == limit);
            }
            CHECK_FALSE(admission.isCold(begin));
        }
    }
    WHEN("requests succeed but the limit was not in use")
    {
        answerFrom(admission, "a", 0, 1);
        for (int answer = 0; answer < 20; ++answer) {
            admission.observe({.evidence = target_evidence::Answered,
                               .instance = "a",
                               .startedAt = after(1),
                               .running = 1},
                              after(2));
        }
        THEN("it does not grow")
        {
            CHECK(admission.limit(after(2)) == 2);
        }
    }
    WHEN("answers that ran at the full limit come in one batch")
    {
        answerFrom(admission, "a", 0, 1);
        for (const int running : {2, 1}) {
            admission.observe({.evidence = target_evidence::Answered,
                               .instance = "a",
                               .startedAt = after(1),
                               .running = running},
                              after(2));
        }
        THEN("each of them counts")
        {
            CHECK(admission.limit(after(2)) == 4);
        }
    }
    WHEN("it reports an overload")
    {
        for (int answer = 0; answer < 7; ++answer)
            admission.observeEvidence(target_evidence::Answered, "a", begin);
        for (const double startedAt : {1.0, 1.0, 1.0}) {
            admission.observe({.evidence = target_evidence::Overloaded,
                               .instance = "a",
                               .startedAt = after(startedAt)},
                              after(2));
        }
        THEN("the limit is halved once for the requests of one round")
        {
            CHECK(admission.limit(after(2)) == 4);
        }
    }
}

SCENARIO("a warm target becomes cold without notice")
{
    target_admission admission = warmTarget();

    WHEN("an answer names another instance")
    {
        answerFrom(admission, "b", 10, 11);
        REQUIRE(admission.limit(after(11)) == 1);
        admission.observeLoad({.instance = "b", .uptime = absl::Seconds(2)}, after(11));
        answerFrom(admission, "b", 10, 11);
        REQUIRE(admission.limit(after(11)) == 2);

        THEN("late answers and reports of the former instance change nothing")
        {
            for (int answer = 0; answer < 20; ++answer)
                answerFrom(admission, "a", 8, 12);
            admission.observeLoad({.instance = "a",
                                   .running = 7,
                                   .uptime = absl::Hours(1) + absl::Seconds(9),
                                   .leaving = true},
                                  after(12));
            CHECK(admission.limit(after(12)) == 2);
            CHECK(admission.phase(after(12)) == target_phase::Warming);
            answerFrom(admission, "b", 12, 13);
            answerFrom(admission, "b", 12, 13);
            CHECK(admission.limit(after(13)) == 4);
        }
        THEN("an answer to a later request identifies the current instance")
        {
            answerFrom(admission, "a", 12, 13);
            CHECK(admission.limit(after(13)) == 1);
            answerFrom(admission, "b", 10, 14);
            CHECK(admission.limit(after(14)) == 1);
        }
    }
    for (const target_evidence evidence : {target_evidence::Refused, target_evidence::Reset}) {
        WHEN("a connection fails" << static_cast<int>(evidence))
        {
            admission.observe({.evidence = evidence, .startedAt = after(10)}, after(11));
            CHECK(admission.limit(after(12.5)) == 1);

            THEN("answers to older requests and old reports do not raise the limit")
            {
                for (int answer = 0; answer < 20; ++answer)
                    answerFrom(admission, "a", 9, 13);
                admission.observeLoad({.instance = "a", .running = 8, .uptime = absl::Hours(1)},
                                      after(13));
                CHECK(admission.limit(after(13)) == 1);
                CHECK(admission.isCold(after(13)));
            }
        }
    }
    WHEN("a report names another instance, or a restart of one without a name")
    {
        admission.observeLoad({.instance = "b", .uptime = absl::Seconds(1)}, after(10));
        THEN("the limit is reset to cold")
        {
            CHECK(admission.limit(after(10)) == 1);
        }
    }
    WHEN("a report comes from an unknown instance that started before the current one")
    {
        admission.observeLoad({.instance = "z", .uptime = absl::Hours(2), .leaving = true},
                              after(10));
        THEN("it changes nothing")
        {
            CHECK(admission.limit(after(10)) == 8);
        }
    }
    WHEN("an instance that was classified as a former one is the only one to report")
    {
        admission.observeLoad({.instance = "b", .uptime = absl::Seconds(1), .leaving = true},
                              after(10));
        REQUIRE(admission.limit(after(10)) == 0);
        for (int second = 11; second <= 21; ++second) {
            admission.observeLoad(
                {.instance = "a", .uptime = absl::Hours(1) + absl::Seconds(second)}, after(second));
        }
        THEN("it is the current one again, and cold")
        {
            CHECK(admission.limit(after(21)) == 1);
        }
    }
    WHEN("it reports that it is cold")
    {
        const absl::Duration uptime = absl::Hours(1) + absl::Seconds(10);
        admission.observeLoad({.instance = "a", .uptime = uptime, .cold = true}, after(10));
        for (int answer = 0; answer < 20; ++answer)
            answerFrom(admission, "a", 11, 12);
        THEN("it stays cold until a newer report says otherwise")
        {
            CHECK(admission.limit(after(12)) == 1);
            admission.observeLoad({.instance = "a", .uptime = uptime - absl::Seconds(3)},
                                  after(12));
            CHECK(admission.limit(after(12)) == 1);
            admission.observeLoad({.instance = "a", .uptime = uptime + absl::Seconds(3)},
                                  after(13));
            CHECK(admission.limit(after(13)) == 1);
            answerFrom(admission, "a", 13, 14);
            CHECK(admission.limit(after(14)) == 2);
        }
    }
}

SCENARIO("reports without instance names reveal a restart by their uptime")
{
    target_admission admission({.target = "engine-1"}, {.warmLimit = 8, .coldLimit = 1}, begin);
    admission.observeLoad({.uptime = absl::Hours(1)}, begin);
    for (int answer = 0; answer < 7; ++answer)
        admission.observeEvidence(target_evidence::Answered, "", begin);
    admission.observeLoad({.uptime = absl::Hours(1) - absl::Seconds(2)}, after(1));
    CHECK(admission.limit(after(1)) == 8);
    admission.observeLoad({.uptime = absl::Seconds(2)}, after(10));
    CHECK(admission.limit(after(10)) == 1);
}

SCENARIO("a target counts as draining from the first indication")
{
    target_admission admission = warmTarget();
    const absl::Duration uptime = absl::Hours(1);

    WHEN("its load report says so")
    {
        admission.observeLoad(
            {.instance = "a", .uptime = uptime + absl::Seconds(10), .leaving = true}, after(10));
        CHECK(admission.limit(after(10)) == 0);

        THEN("an older report does not make it available again, a later one does")
        {
            admission.observeLoad({.instance = "a", .uptime = uptime + absl::Seconds(9)},
                                  after(11));
            CHECK(admission.phase(after(11)) == target_phase::Leaving);
            admission.observeLoad({.instance = "a", .uptime = uptime + absl::Seconds(12)},
                                  after(12));
            CHECK(admission.phase(after(12)) == target_phase::Warm);
        }
        THEN("a new instance starts cold")
        {
            answerFrom(admission, "b", 11, 12);
            CHECK(admission.limit(after(12)) == 1);
        }
    }
    WHEN("it rejects a request because it is draining")
    {
        admission.observeEvidence(target_evidence::Leaving, "a", after(10));
        CHECK(admission.limit(after(10)) == 0);

        THEN("neither a delayed report nor the delayed list makes it available again")
        {
            admission.observeLoad({.instance = "a", .uptime = uptime + absl::Seconds(10)},
                                  after(11));
            admission.observeListing({.target = "engine-1"}, after(20));
            CHECK(admission.limit(after(20)) == 0);
            AND_THEN("a list newer than its maximum delay does")
            {
                admission.observeListing({.target = "engine-1"}, after(25));
                CHECK(admission.limit(after(25)) == 8);
            }
        }
        THEN("a new instance is not draining")
        {
            admission.observeLoad({.instance = "b", .uptime = absl::Seconds(1)}, after(12));
            CHECK(admission.limit(after(12)) == 1);
        }
    }
    WHEN("the VM list says so and an operator makes it available again")
    {
        admission.observeListing({.target = "engine-1", .leaving = true}, after(10));
        CHECK(admission.limit(after(10)) == 0);
        admission.observeListing({.target = "engine-1"}, after(20));
        THEN("it keeps its former limit")
        {
            CHECK(admission.limit(after(20)) == 8);
        }
    }
    WHEN("it is no longer listed and is listed again later")
    {
        admission.observeUnlisted(after(10));
        CHECK(admission.limit(after(10)) == 0);
        admission.observeListing({.target = "engine-1"}, after(20));
        THEN("it starts cold")
        {
            CHECK(admission.limit(after(20)) == 1);
        }
    }
}

SCENARIO("an unresponsive target gets probe requests")
{
    target_admission admission = warmTarget();
    const target_observation silent {.evidence = target_evidence::Silent, .startedAt = begin};

    WHEN("one request is not answered")
    {
        admission.observe(silent, after(10));
        THEN("its limit does not change")
        {
            CHECK(admission.limit(after(10)) == 8);
        }
    }
    WHEN("consecutive requests are not answered")
    {
        admission.observe(silent, after(10));
        admission.observe(silent, after(10));
        THEN("it gets one probe request after a pause, and its former limit with an answer")
        {
            CHECK(admission.phase(after(10)) == target_phase::Unreachable);
            CHECK(admission.limit(after(10.5)) == 0);
            CHECK(admission.limit(after(11)) == 1);
            answerFrom(admission, "a", 11, 12);
            CHECK(admission.limit(after(12)) == 8);
        }
    }
    WHEN("it keeps resetting connections")
    {
        admission.observe({.evidence = target_evidence::Reset, .startedAt = after(9)}, after(10));
        CHECK(admission.limit(after(10)) == 1);
        admission.observe({.evidence = target_evidence::Reset, .startedAt = after(10)}, after(11));
        THEN("the next probe waits")
        {
            CHECK(admission.limit(after(11.5)) == 0);
            CHECK(admission.limit(after(12)) == 1);
        }
    }
}

SCENARIO("a flapping target never gets more than its cold limit at once after a restart")
{
    simulated_target target({.warmLimit = 8, .coldLimit = 1}, 7);
    for (int round = 0; round < 30; ++round) {
        target.run(absl::Seconds(2 + round % 7));
        target.restart(round % 3 != 0);
    }
    CHECK(target.violation().empty());
    CHECK(target.longestIdle() <= absl::Seconds(1.05));
}
