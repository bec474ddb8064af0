#include "exchange/view/fleet_view.h"
#include "forwarding/node/workspace_accounts.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("what is taken back later than its acceptance counts makes no share negative",
          "[accounts]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    const absl::Time later = start + token_window::span;
    const fleet_view fleet;
    workspace_accounts accounts;
    accounts.onDecided("a", 500, true, start);
    accounts.onNotServed("a", 500, later);
    accounts.onDecided("a", 100, false, later);
    accounts.onPlaced(50, absl::Seconds(1), later);
    const target_pressure pressure {.targets = 1,
                                    .meanBacklog = capacity_limits {}.intendedBacklog};
    accounts.updateFairLevel(fleet, pressure, later);
    const share_state share = accounts.shareOf("a", fleet, later);
    REQUIRE(share.servedTokens < 0.0);
    REQUIRE(share.fairShareTokens.has_value());
    CHECK(*share.fairShareTokens > 0.0);
    CHECK(shareOverDemand(share) > 0.0);
}

TEST_CASE("the demand and the work of all routers count in the fair level", "[accounts]")
{
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    constexpr name_hash greedy = 21;
    fleet_view fleet;
    fleet.apply(backlog_digest {.vm = "vm2",
                                .sequence = 1,
                                .incarnation = 1,
                                .workspaces = {{.workspace = greedy, .requestedTokens = 10000}},
                                .placed = {.tokens = 900, .workMs = 900}},
                now);
    workspace_accounts accounts;
    accounts.onDecided("a", 100, true, now);
    accounts.onPlaced(100, absl::Milliseconds(100), now);
    const capacity_limits limits;
    accounts.updateFairLevel(fleet, {.targets = 1, .meanBacklog = limits.intendedBacklog}, now);
    const share_state share = accounts.shareOf("a", fleet, now);
    REQUIRE(share.fairShareTokens.has_value());
    const double capacity = 1000.0 * absl::ToDoubleSeconds(token_window::span) * limits.utilization;
    CHECK(*share.fairShareTokens == Approx(capacity - 100.0));
    CHECK(share.requestedTokens == 100.0);

    SECTION("it is computed anew after its interval")
    {
        CHECK_FALSE(accounts.isFairLevelDue(now));
        CHECK(accounts.isFairLevelDue(now + workspace_accounts::fairLevelInterval));
    }
}
