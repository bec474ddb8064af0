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
    const share_state share = accounts.shareOf("a", fleet, later);
    REQUIRE(share.servedTokens < 0.0);
    REQUIRE(share.fairShareTokens.has_value());
    CHECK(*share.fairShareTokens == 0.0);
    CHECK(shareRatio(share) >= 0.0);
}
