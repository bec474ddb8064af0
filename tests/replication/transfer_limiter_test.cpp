#include "replication/replication.h"

#include <catch2/catch.hpp>

#include <memory>
#include <utility>
#include <vector>

using namespace quetzal;

TEST_CASE("copies for other routers are limited by their bytes on the way", "[replication]")
{
    transfer_limiter limiter;
    std::vector<transfer_limiter::transfer> pending;
    const auto begin = [&](std::size_t bytes) {
        auto transfer = limiter.tryBegin(bytes);
        const bool isBegun = transfer != nullptr;
        if (isBegun)
            pending.push_back(std::move(transfer));
        return isBegun;
    };

    SECTION("small ones hardly ever")
    {
        for (int copy = 0; copy < 900; ++copy)
            CHECK(begin(4000));
    }

    SECTION("large ones until an earlier one was sent")
    {
        constexpr std::size_t bytes = transfer_limiter::maxPendingBytes / 4;
        for (int copy = 0; copy < 4; ++copy)
            CHECK(begin(bytes));
        CHECK(limiter.isFull());
        CHECK_FALSE(begin(bytes));
        pending.pop_back();
        CHECK_FALSE(limiter.isFull());
        CHECK(begin(bytes));
        CHECK_FALSE(begin(bytes));
    }

    SECTION("one that is larger than the limit is sent alone")
    {
        CHECK(begin(transfer_limiter::maxPendingBytes * 5));
        CHECK_FALSE(begin(1));
        pending.clear();
        CHECK(begin(1));
    }

    SECTION("one on the way may outlive the limiter")
    {
        auto other = std::make_unique<transfer_limiter>();
        auto transfer = other->tryBegin(100);
        other.reset();
        CHECK(transfer);
    }

    SECTION("to what a slow link sends in a fraction of the time that routers wait")
    {
        limiter = transfer_limiter(10.0);
        for (int copy = 0; copy < 12; ++copy)
            CHECK(begin(20000));
        CHECK_FALSE(begin(20000));
    }
}
