#include "fairness/fairness.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

bool always(const std::string &)
{
    return true;
}

void serve(fair_order &order, int requests, double cost)
{
    for (int request = 0; request < requests; ++request)
        order.charge(order.next(always).value(), cost);
}

} // namespace

SCENARIO("backlogged workspaces are served in proportion to their shares")
{
    fair_order order;
    order.setShare("large", 3.0);
    order.setShare("small", 1.0);

    GIVEN("both always backlogged")
    {
        order.setBacklogged("large", true);
        order.setBacklogged("small", true);

        WHEN("four hundred equal requests are served")
        {
            serve(order, 400, 10.0);
            THEN("the charges have a ratio of three to one")
            {
                CHECK(order.charged("large") == 3000.0);
                CHECK(order.charged("small") == 1000.0);
            }
        }
        WHEN("the first in order is not eligible")
        {
            const auto next = order.next([](const std::string &name) { return name != "large"; });
            THEN("the other one is served, so that no capacity is left idle")
            {
                CHECK(next == "small");
            }
        }
        WHEN("an estimate is corrected at the end")
        {
            order.charge("small", 500.0);
            order.charge("small", -450.0);
            THEN("only the actual cost counts")
            {
                CHECK(order.virtualTime("small") == 50.0);
            }
        }
    }
}

SCENARIO("idling earns no credit")
{
    fair_order order;
    order.setShare("busy", 1.0);
    order.setShare("idle", 1.0);
    order.setBacklogged("busy", true);
    serve(order, 100, 10.0);

    GIVEN("a workspace that was idle while the other was served")
    {
        order.setBacklogged("idle", true);
        THEN("it starts at the virtual time of the backlogged workspaces")
        {
            CHECK(order.virtualTime("idle") == 1000.0);
            serve(order, 100, 10.0);
            CHECK(order.charged("idle") == 500.0);
        }
    }
    GIVEN("a workspace that becomes backlogged when no other one is")
    {
        order.setBacklogged("busy", false);
        order.setBacklogged("idle", true);
        THEN("it starts at the virtual time of the last backlogged one")
        {
            CHECK(order.virtualTime("idle") == 1000.0);
        }
    }
}

SCENARIO("a changed share applies to later charges only")
{
    fair_order order;
    order.setShare("a", 4.0);
    order.setBacklogged("a", true);
    order.charge("a", 400.0);
    order.setShare("a", 1.0);
    CHECK(order.virtualTime("a") == 100.0);
    order.charge("a", 10.0);
    CHECK(order.virtualTime("a") == 110.0);
}

SCENARIO("charges at other shards count")
{
    fair_order order;
    order.setBacklogged("a", true);
    order.setBacklogged("b", true);
    order.setRemoteTotal("a", 50.0);
    CHECK(order.next(always) == "b");
    order.setRemoteTotal("b", 80.0);
    CHECK(order.next(always) == "a");
    order.remove("a");
    CHECK(order.next(always) == "b");
}
