#include "placement/placement.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

} // namespace

TEST_CASE("estimated content of a target's prompt cache", "[placement]")
{
    prompt_cache_view cache(1000);
    const std::vector<prompt_part> first {{.id = 1, .tokens = 300}, {.id = 2, .tokens = 100}};
    CHECK(cache.missingTokens(first) == 400);
    cache.use(first);
    CHECK(cache.missingTokens(first) == 0);

    SECTION("a part is cached only together with the parts before it")
    {
        CHECK(cache.missingTokens({{.id = 1, .tokens = 300}, {.id = 9, .tokens = 50}}) == 50);
        CHECK(cache.missingTokens({{.id = 9, .tokens = 50}, {.id = 1, .tokens = 300}}) == 350);
    }

    SECTION("the least recently used part is evicted")
    {
        cache.use({{.id = 5, .tokens = 500}});
        cache.use(first);
        cache.use({{.id = 6, .tokens = 300}});
        CHECK(cache.missingTokens(first) == 0);
        CHECK(cache.missingTokens({{.id = 5, .tokens = 500}}) == 500);
    }
}

TEST_CASE("backlog of a target", "[placement]")
{
    target_load load;
    load.onSent(1, absl::ZeroDuration(), absl::Milliseconds(100), start);
    load.onSent(2, absl::Milliseconds(100), absl::Milliseconds(50), start);
    CHECK(load.backlog(start) == absl::Milliseconds(150));

    SECTION("decreases with the request that is being processed, and ends when the answers begin")
    {
        CHECK(load.backlog(start + absl::Milliseconds(40)) == absl::Milliseconds(110));
        load.onAnswerBegan(1);
        CHECK(load.backlog(start + absl::Milliseconds(40)) == absl::Milliseconds(50));
        load.onAnswerBegan(2);
        CHECK(load.backlog(start + absl::Milliseconds(60)) == absl::ZeroDuration());
        CHECK(load.inFlight() == 2);
        load.onEnded(1);
        load.onEnded(2);
        CHECK(load.inFlight() == 0);
    }

    SECTION(
        "the work of a request does not vanish while the target processes that of other routers")
    {
        load.onSent(3, absl::Milliseconds(1000), absl::Milliseconds(80), start);
        load.onAnswerBegan(1);
        load.onAnswerBegan(2);
        CHECK(load.backlog(start + absl::Milliseconds(900)) == absl::Milliseconds(80));
        CHECK(load.overdue(start + absl::Milliseconds(900)) == absl::ZeroDuration());
        CHECK(load.backlog(start + absl::Milliseconds(1020)) == absl::Milliseconds(60));

        AND_WHEN("its answer is late, half of it stays until the answer begins")
        {
            CHECK(load.backlog(start + absl::Seconds(5)) == absl::Milliseconds(40));
        }
    }

    SECTION("answers that do not begin on time are overdue")
    {
        CHECK(load.overdue(start + absl::Milliseconds(90)) == absl::ZeroDuration());
        CHECK(load.overdue(start + absl::Milliseconds(300)) == absl::Milliseconds(200));
    }

    SECTION("the weight of failures decays")
    {
        load.onFailure(1.0, start);
        CHECK(load.failures(start) == Approx(1.0));
        CHECK(load.failures(start + absl::Milliseconds(1500)) == Approx(0.5));
    }
}

TEST_CASE("choice between targets", "[placement]")
{
    const choice_weights weights;
    std::vector<target_candidate> candidates {{.id = "holds it",
                                               .ownWork = absl::Milliseconds(10),
                                               .isInOwnDataCentre = true,
                                               .affinityRank = nearTargets},
                                              {.id = "would read it again",
                                               .ownWork = absl::Milliseconds(60),
                                               .repeatedWork = absl::Milliseconds(50),
                                               .isInOwnDataCentre = true,
                                               .affinityRank = nearTargets}};
    CHECK(chooseTarget(candidates, weights) == 0);
    CHECK_FALSE(chooseTarget({}, weights).has_value());

    SECTION("processing a prompt again is avoided unless the backlog takes much longer than that")
    {
        candidates[0].backlog = absl::Milliseconds(300);
        CHECK(chooseTarget(candidates, weights) == 0);
        candidates[0].backlog = absl::Milliseconds(700);
        CHECK(chooseTarget(candidates, weights) == 1);
    }

    SECTION("a prompt that no target has cached goes to the target with the highest affinity")
    {
        candidates[0] = candidates[1];
        candidates[0].affinityRank = 1;
        candidates[1].affinityRank = 0;
        CHECK(chooseTarget(candidates, weights) == 1);
    }

    SECTION("a target that is near it reads it again the sooner, the nearer it is")
    {
        candidates[1].affinityRank = 1;
        candidates[0].backlog = absl::Milliseconds(180);
        CHECK(chooseTarget(candidates, weights) == 0);
        candidates[0].backlog = absl::Milliseconds(220);
        CHECK(chooseTarget(candidates, weights) == 1);
        candidates[1].affinityRank = 2;
        CHECK(chooseTarget(candidates, weights) == 0);
        candidates[0].backlog = absl::Milliseconds(370);
        CHECK(chooseTarget(candidates, weights) == 1);
    }

    SECTION("the nearest ones are those with the highest affinity")
    {
        std::vector<target_candidate> many(5);
        for (std::size_t index = 0; index < many.size(); ++index)
            many[index].affinity = 10 * index;
        rankByAffinity(many);
        CHECK(many[4].affinityRank == 0);
        CHECK(many[3].affinityRank == 1);
        CHECK(many[2].affinityRank == 2);
        CHECK(many[1].affinityRank == nearTargets);
        many.resize(1);
        rankByAffinity(many);
        CHECK(many[0].affinityRank == 0);
        many.clear();
        rankByAffinity(many);
    }

    SECTION("a failing or overdue target is avoided")
    {
        candidates[1].repeatedWork = absl::ZeroDuration();
        candidates[0].failures = 1.0;
        CHECK(chooseTarget(candidates, weights) == 1);
        candidates[0].failures = 0.0;
        candidates[0].overdue = absl::Milliseconds(100);
        CHECK(chooseTarget(candidates, weights) == 1);
    }

    SECTION("at equal cost the target with the highest affinity is chosen")
    {
        candidates[1] = candidates[0];
        candidates[1].affinity = 2;
        candidates[0].affinity = 1;
        CHECK(chooseTarget(candidates, weights) == 1);
    }
}
