#include "admission/admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

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
    token_window window;
    window.add(100, start);
    window.add(50, start + absl::Seconds(2));
    CHECK(window.sum(start + absl::Seconds(2)) == 150);
    CHECK(window.sum(start + absl::Seconds(4)) == 50);
    CHECK(window.sum(start + absl::Seconds(60)) == 0);
}

TEST_CASE("workspaces that reached their fair share have a lower backlog limit", "[admission]")
{
    const backlog_limits limits;
    const absl::Duration latencyObjective = absl::Milliseconds(800);
    const share_state under {.servedTokens = 10.0, .fairShareTokens = 20.0};
    const share_state over {.servedTokens = 20.0, .fairShareTokens = 20.0};
    const share_state enough {.servedTokens = 20.0, .fairShareTokens = std::nullopt};

    CHECK(backlogLimit(under, latencyObjective, limits) == latencyObjective);
    CHECK(backlogLimit(enough, latencyObjective, limits) == latencyObjective);
    CHECK(backlogLimit(over, latencyObjective, limits) < latencyObjective);
    CHECK(backlogLimit(over, latencyObjective, limits) > absl::ZeroDuration());

    SECTION("which decreases with the excess over the fair share")
    {
        const share_state farOver {.servedTokens = 60.0, .fairShareTokens = 20.0};
        CHECK(backlogLimit(farOver, latencyObjective, limits)
              < backlogLimit(over, latencyObjective, limits) / 2);
        CHECK(backlogLimit(farOver, latencyObjective, limits) > absl::ZeroDuration());
    }
}
