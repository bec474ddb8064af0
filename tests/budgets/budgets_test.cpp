#include "budgets/budgets.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

router_group groupOf(int members, int self)
{
    router_group group;
    for (int member = 0; member < members; ++member)
        group.members.push_back("vm" + std::to_string(member));
    group.self = group.members[static_cast<std::size_t>(self)];
    return group;
}

} // namespace

TEST_CASE("the shares of all routers add up to the limit", "[budgets]")
{
    rc::check("for any number of routers and permits", [] {
        const int members = *rc::gen::inRange(1, 40);
        const int permits = *rc::gen::inRange(0, 100);
        int sum = 0;
        for (int self = 0; self < members; ++self)
            sum += shareOf(permits, "target", groupOf(members, self));
        RC_ASSERT(sum == permits);
    });
}

TEST_CASE("a cold target receives at most this router's share in any window", "[budgets]")
{
    cold_start_limiter limiter;
    const router_group group = groupOf(3, 0);
    const int share = shareOf(10, "target", group);

    SECTION("all requests at the same time")
    {
        for (int sent = 0; sent < share; ++sent) {
            CHECK(limiter.maySend("target", 10, group, start));
            limiter.onSent("target", start);
        }
        CHECK_FALSE(limiter.maySend("target", 10, group, start));
        CHECK_FALSE(limiter.maySend("target", 10, group, start + absl::Milliseconds(1000)));
        CHECK(limiter.maySend("target", 10, group, start + absl::Milliseconds(1100)));
    }

    SECTION("no requests if the limit is zero")
    {
        CHECK_FALSE(limiter.maySend("target", 0, group, start));
    }

    SECTION("no requests before the routers are known, which may be many")
    {
        CHECK_FALSE(limiter.maySend("target", 10, {.self = "vm0", .members = {}}, start));
    }

    SECTION("no more requests if its record is removed and it starts again under its name")
    {
        for (int sent = 0; sent < share; ++sent)
            limiter.onSent("target", start);
        limiter.removeExpired(start + absl::Milliseconds(500));
        CHECK_FALSE(limiter.maySend("target", 10, group, start + absl::Milliseconds(500)));
    }
}

TEST_CASE("a process does not know what the one before it spent of the fleet's limits", "[budgets]")
{
    const router_group group = groupOf(3, 0);

    SECTION("so it sends nothing to a cold target until that has left the window")
    {
        const cold_start_limiter limiter(start);
        const absl::Time end = start + cold_start_limiter::window;
        CHECK_FALSE(limiter.maySend("target", 10, group, end - absl::Milliseconds(1)));
        CHECK(limiter.maySend("target", 10, group, end));
    }

    SECTION("and both together spend the router's part of the retries at most")
    {
        constexpr std::size_t routers = 6;
        const retry_limits limits {.window = absl::Seconds(10), .ratio = 0.2, .allowance = 60.0};
        shared_retry_budget former(limits);
        shared_retry_budget next(limits, start);
        int spent = 0;
        while (former.trySpend("service", routers, start))
            ++spent;
        const int spentBefore = spent;
        while (next.trySpend("service", routers, start))
            ++spent;
        CHECK(spent > spentBefore);
        CHECK(spent <= 60.0 / routers);
        const absl::Time later = start + limits.window;
        int spentLater = 0;
        while (next.trySpend("service", routers, later))
            ++spentLater;
        CHECK(spentLater == spentBefore);
    }

    SECTION("and spends no retries before it knows how many routers share them")
    {
        shared_retry_budget budget({.allowance = 60.0});
        CHECK_FALSE(budget.trySpend("service", 0, start));
    }

    SECTION("and takes one connection to each target before that")
    {
        const connection_bounds bounds {.maxConnections = 720, .routers = 0};
        CHECK(guaranteedConnections(bounds) == 1);
        CHECK(connectionShare(bounds, 0) == 1);
    }
}

TEST_CASE("retries stay below the fleet's budget in every window", "[budgets]")
{
    const retry_limits limits {.window = absl::Seconds(10), .ratio = 0.2, .allowance = 60.0};

    SECTION("when every router uses up its share")
    {
        constexpr std::size_t routers = 6;
        constexpr int requests = 50;
        int spent = 0;
        for (std::size_t router = 0; router < routers; ++router) {
            shared_retry_budget budget(limits);
            for (int request = 0; request < requests; ++request)
                budget.onRequest("service", start);
            while (budget.trySpend("service", routers, start))
                ++spent;
        }
        CHECK(spent <= 0.2 * requests * routers + 60.0);
        CHECK(spent >= 0.5 * (0.2 * requests * routers + 60.0));
    }

    SECTION("and are available again when the window has passed")
    {
        shared_retry_budget budget(limits);
        while (budget.trySpend("service", 6, start)) { }
        CHECK_FALSE(budget.trySpend("service", 6, start + absl::Seconds(9)));
        CHECK(budget.trySpend("service", 6, start + absl::Seconds(10)));
    }
}

TEST_CASE("a sliding counter computes when it falls below a limit", "[budgets]")
{
    sliding_counter counter(absl::Seconds(1));
    counter.add(start);
    counter.add(start + absl::Milliseconds(400));
    CHECK(counter.whenBelow(3, start + absl::Milliseconds(500)) == start + absl::Milliseconds(500));
    CHECK(counter.whenBelow(2, start + absl::Milliseconds(500)) == start + absl::Seconds(1));
    CHECK(counter.whenBelow(0, start) == absl::InfiniteFuture());
}

TEST_CASE("connections to a target are divided by need", "[budgets]")
{
    SECTION(
        "a router may have a third of what the others leave, and none more than the target takes")
    {
        const connection_bounds bounds {.maxConnections = 720, .routers = 72};
        CHECK(guaranteedConnections(bounds) == 5);
        CHECK(connectionShare(bounds, 0) == 5 + 360 / 3);
        CHECK(connectionShare(bounds, 120) == 5 + 240 / 3);
        CHECK(connectionShare(bounds, 1000) == 5);
        CHECK(connectionShare({.maxConnections = 96, .routers = 1}, 0) == 96);
    }

    SECTION("routers that need more one after the other stay below the limit together")
    {
        rc::check("for any number of routers and connections", [] {
            const int routers = *rc::gen::inRange(2, 100);
            const int maxConnections = *rc::gen::inRange(2 * routers, 40 * routers);
            const connection_bounds bounds {.maxConnections = maxConnections,
                                            .routers = static_cast<std::size_t>(routers)};
            int usedBeyond = 0;
            for (int router = 0; router < routers; ++router)
                usedBeyond += connectionShare(bounds, usedBeyond) - guaranteedConnections(bounds);
            RC_ASSERT(usedBeyond + routers * guaranteedConnections(bounds) <= maxConnections);
        });
    }

    SECTION("three routers that take what is free at the same time stay below the limit")
    {
        const connection_bounds bounds {.maxConnections = 720, .routers = 72};
        const int borrowed = connectionShare(bounds, 0) - guaranteedConnections(bounds);
        CHECK(72 * guaranteedConnections(bounds) + 3 * borrowed <= 720);
    }
}
