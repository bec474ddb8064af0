#include "replication/replication.h"

#include <catch2/catch.hpp>

using namespace quetzal;

TEST_CASE("copies for other routers are limited by their bytes", "[replication]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    transfer_limiter limiter;
    const auto takenAt = [&](std::size_t bytes, absl::Time now) {
        int taken = 0;
        while (taken < 1000 && limiter.tryTake(bytes, now))
            ++taken;
        return taken;
    };

    SECTION("small ones hardly ever")
    {
        CHECK(takenAt(4000, start) == 1000);
    }

    SECTION("large ones as far as the limit allows, and again after a while")
    {
        constexpr std::size_t bytes = 1000000;
        CHECK(takenAt(bytes, start) == 4);
        CHECK(takenAt(bytes, start) == 0);
        CHECK(takenAt(bytes, start + absl::Milliseconds(100)) == 2);
        CHECK(takenAt(bytes, start + absl::Seconds(60)) == 4);
    }

    SECTION("one that is larger than the limit is sent, and delays the next one")
    {
        constexpr std::size_t bytes = 20000000;
        CHECK(takenAt(bytes, start) == 1);
        CHECK(takenAt(bytes, start + absl::Milliseconds(900)) == 0);
        CHECK(takenAt(bytes, start + absl::Milliseconds(1100)) == 1);
    }
}
