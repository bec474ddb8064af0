#include "replication/replication.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace quetzal;

namespace {

std::vector<std::string> vmNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
        names.push_back("vm-" + std::to_string(number));
    return names;
}

std::vector<reader_order> ordersOf(const std::string &prefix, const std::vector<std::string> &vms)
{
    std::vector<reader_order> orders;
    for (const std::string &vm : vms) {
        orders.emplace_back(prefix, vm);
        orders.back().setRouters(vms);
    }
    return orders;
}

} // namespace

TEST_CASE("routers agree on who reads a prefix, without communication", "[replication]")
{
    const std::size_t count = GENERATE(1U, 2U, 6U, 72U, 340U);
    const std::vector<std::string> vms = vmNames(count);
    const std::vector<reader_order> orders = ordersOf("op/", vms);

    SECTION("each has a rank of its own, and precedes those with a higher one")
    {
        std::set<std::size_t> ranks;
        for (std::size_t own = 0; own < count; ++own) {
            ranks.insert(orders[own].rank());
            CHECK(orders[own].routerCount() == count);
            CHECK_FALSE(orders[own].precedes(vms[own]));
            for (std::size_t other = 0; other < count; ++other)
                REQUIRE(orders[own].precedes(vms[other])
                        == (orders[other].rank() < orders[own].rank()));
        }
        CHECK(ranks.size() == count);
        CHECK(*ranks.rbegin() == count - 1);
    }

    SECTION("the first one never waits, and few take over at the same time")
    {
        std::vector<absl::Duration> delays(count);
        for (const reader_order &order : orders)
            delays[order.rank()] = order.takeoverDelay();
        CHECK(delays[0] == absl::ZeroDuration());
        CHECK(std::is_sorted(delays.begin(), delays.end()));
        if (count == 1)
            return;
        const absl::Duration configurationBound = absl::Seconds(2);
        CHECK(delays.back() < configurationBound);
        const auto atOnce = std::count_if(delays.begin() + 1, delays.end(), [&](auto delay) {
            return delay <= delays[1] + absl::Milliseconds(200);
        });
        CHECK(atOnce <= 8);
    }

    SECTION("a router that it does not list itself counts all the same")
    {
        reader_order order("op/", "new");
        order.setRouters(vms);
        CHECK(order.routerCount() == count + 1);
        CHECK(order.rank() <= count);
    }
}

TEST_CASE("different prefixes are read by different routers", "[replication]")
{
    const std::vector<std::string> vms = vmNames(72);
    std::set<std::string> readers;
    for (const std::string prefix : {"op/", "servers/", "members/"}) {
        const std::vector<reader_order> orders = ordersOf(prefix, vms);
        const auto first
            = std::find_if(orders.begin(), orders.end(),
                           [](const reader_order &order) { return order.rank() == 0; });
        readers.insert(vms[static_cast<std::size_t>(first - orders.begin())]);
    }
    CHECK(readers.size() == 3);
}
