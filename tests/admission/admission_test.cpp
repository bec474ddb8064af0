#include "admission/admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

using namespace quetzal;

TEST_CASE("the fair level divides a capacity", "[admission]")
{
    SECTION("all demand is met while the capacity suffices")
    {
        CHECK_FALSE(fairLevel({10.0, 20.0}, 30.0).has_value());
        CHECK_FALSE(fairLevel({}, 30.0).has_value());
    }
    SECTION("small demands are met, the others share the rest equally")
    {
        CHECK(fairLevel({5.0, 100.0, 100.0}, 65.0) == 30.0);
    }
    rc::check("the sum of the allocations is the capacity", [] {
        const auto requested
            = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000)));
        const std::vector<double> amounts(requested.begin(), requested.end());
        const double sum = std::accumulate(amounts.begin(), amounts.end(), 0.0);
        const double capacity = sum * 0.6;
        const auto level = fairLevel(amounts, capacity);
        RC_ASSERT(level.has_value());
        double allocated = 0.0;
        for (double amount : amounts)
            allocated += std::min(amount, *level);
        RC_ASSERT(allocated == Approx(capacity));
    });
}

TEST_CASE("a token window drops tokens that are older than its span", "[admission]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    const absl::Duration half = token_window::span / 2;
    token_window window;
    window.add(100, start);
    window.add(50, start + half);
    CHECK(window.sum(start + half) == 150);
    CHECK(window.sum(start + token_window::span) == 50);
    CHECK(window.sum(start + absl::Seconds(60)) == 0);
}

TEST_CASE("of what a workspace requests, its fair share is within it", "[admission]")
{
    const auto countWithin = [](const share_state &share) {
        constexpr int requests = 3000;
        int within = 0;
        for (int number = 0; number < requests; ++number)
            within += isWithinShare(share, shareDraw("request-" + std::to_string(number))) ? 1 : 0;
        return within;
    };

    SECTION("all of it up to the share, or while the capacity covers all demand")
    {
        CHECK(countWithin({.requestedTokens = 20.0, .fairShareTokens = 20.0}) == 3000);
        CHECK(countWithin({.requestedTokens = 2000.0}) == 3000);
        CHECK(countWithin({.fairShareTokens = 20.0}) == 3000);
        CHECK(countWithin({}) == 3000);
    }

    SECTION("a third of three times the share")
    {
        const int within = countWithin({.requestedTokens = 60.0, .fairShareTokens = 20.0});
        CHECK(within > 900);
        CHECK(within < 1100);
    }

    SECTION("whatever was served before, while there was room or while there was none")
    {
        for (const double served : {0.0, 20.0, 2000.0})
            CHECK(countWithin(
                      {.requestedTokens = 60.0, .servedTokens = served, .fairShareTokens = 20.0})
                  == countWithin({.requestedTokens = 60.0, .fairShareTokens = 20.0}));
    }

    SECTION("so that repeats of what is rejected change nothing in the sum")
    {
        const double once = 60.0;
        const double repeated = 100.0;
        const double share = 20.0;
        CHECK(once * countWithin({.requestedTokens = once, .fairShareTokens = share})
              == Approx(repeated
                        * countWithin({.requestedTokens = repeated, .fairShareTokens = share}))
                     .epsilon(0.1));
    }

    SECTION("and the rest may come back the later, the more it is")
    {
        const auto retryAfter = [](double requested) {
            return retryAfterBeyondShare({.requestedTokens = requested, .fairShareTokens = 20.0});
        };
        CHECK(retryAfter(21.0) == absl::Milliseconds(200));
        CHECK(retryAfter(60.0) == absl::Milliseconds(500));
        CHECK(retryAfter(2000.0) == absl::Seconds(1));
        CHECK(retryAfterBeyondShare({.requestedTokens = 1.0, .fairShareTokens = 0.0})
              == absl::Seconds(1));
    }
}

TEST_CASE("a workspace that leaves some of its share may wait longer at a target", "[admission]")
{
    const backlog_limits limits;
    const absl::Duration latencyObjective = absl::Milliseconds(800);
    const auto limitOf = [&](const share_state &share) {
        return backlogLimit(share, latencyObjective, limits);
    };
    CHECK(limitOf({.requestedTokens = 20.0}) == latencyObjective);
    CHECK(limitOf({.requestedTokens = 25.0, .fairShareTokens = 20.0}) == latencyObjective);
    CHECK(limitOf({.requestedTokens = 20.0, .fairShareTokens = 20.0}) == latencyObjective);
    CHECK(limitOf({.requestedTokens = 16.0, .fairShareTokens = 20.0}) == latencyObjective * 1.25);
    CHECK(limitOf({.requestedTokens = 1.0, .fairShareTokens = 20.0}) == latencyObjective * 2);
}

TEST_CASE("the capacity follows from work, targets and backlog", "[admission]")
{
    const capacity_limits limits {.utilization = 0.8};
    const placed_work placed {.tokens = 30000.0, .work = absl::Milliseconds(500)};
    const target_pressure intended {.targets = 10, .meanBacklog = limits.intendedBacklog};
    const absl::Duration second = absl::Seconds(1);
    const double capacity = capacityTokens(placed, intended, second, limits);
    CHECK(capacity == Approx(60000.0 * 10 * 0.8));

    SECTION("not from how much was accepted")
    {
        const placed_work little {.tokens = placed.tokens / 100, .work = placed.work / 100};
        CHECK(capacityTokens(little, intended, second, limits) == Approx(capacity));
    }
    SECTION("it falls and rises with the targets, at once")
    {
        target_pressure half = intended;
        half.targets = 5;
        CHECK(capacityTokens(placed, half, second, limits) == Approx(capacity / 2));
    }
    SECTION("it is raised while targets have little to do, and lowered while they have too much")
    {
        const auto at = [&](absl::Duration backlog) {
            return capacityTokens(placed, {.targets = 10, .meanBacklog = backlog}, second, limits);
        };
        CHECK(at(absl::ZeroDuration()) == Approx(capacity * limits.maxFactor));
        CHECK(at(limits.intendedBacklog / 4) == Approx(capacity * 2));
        CHECK(at(limits.intendedBacklog * 4) == Approx(capacity / 2));
        CHECK(at(absl::Minutes(1)) == Approx(capacity * limits.minFactor));
    }
    SECTION("without anything placed, or without a target, there is no limit")
    {
        CHECK_FALSE(std::isfinite(capacityTokens({}, intended, second, limits)));
        CHECK_FALSE(std::isfinite(capacityTokens(placed, {}, second, limits)));
    }
}

TEST_CASE("a router takes as many new requests a turn as its processor can serve", "[admission]")
{
    const auto takeAll = [](turn_limiter &limiter) {
        int taken = 0;
        while (limiter.tryTake())
            ++taken;
        return taken;
    };
    turn_limiter limiter({.maxPerTurn = 3, .maxBurst = 10});

    SECTION("a burst after a quiet time is taken whole up to its bound")
    {
        CHECK(takeAll(limiter) == 10);
        CHECK_FALSE(limiter.tryTake());

        AND_THEN("each turn takes the same number while there are more, from the first on")
        {
            for (int turn = 0; turn < 100; ++turn) {
                limiter.onTurnEnded();
                CHECK(takeAll(limiter) == 3);
            }
        }

        AND_THEN("turns with fewer make room for the next burst, and no more than for one")
        {
            for (int turn = 0; turn < 100; ++turn)
                limiter.onTurnEnded();
            CHECK(takeAll(limiter) == 10);
        }
    }

    SECTION("turns that take no more than they may turn nobody away")
    {
        for (int turn = 0; turn < 100; ++turn) {
            CHECK(limiter.tryTake());
            CHECK(limiter.tryTake());
            CHECK(limiter.tryTake());
            limiter.onTurnEnded();
        }
    }

    SECTION("the limits follow the processor, and the smallest still takes requests")
    {
        const turn_limits small = turnLimitsOf(0.12);
        const turn_limits whole = turnLimitsOf(1.0);
        CHECK(whole.maxPerTurn > 7 * small.maxPerTurn);
        CHECK(small.maxBurst > small.maxPerTurn);
        CHECK(turnLimitsOf(0.001).maxPerTurn > 0);
    }
}
