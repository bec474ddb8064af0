#include "forwarding/forwarding.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

} // namespace

TEST_CASE("the times of a graceful shutdown", "[shutdown]")
{
    SECTION("with a grace period of 8 s")
    {
        const shutdown_schedule schedule(start, absl::Seconds(8));
        CHECK(schedule.isAccepting(start));
        CHECK(schedule.isAccepting(start + absl::Milliseconds(2799)));
        CHECK_FALSE(schedule.isAccepting(start + absl::Milliseconds(2800)));
        CHECK(schedule.answersDueAt() == start + absl::Milliseconds(7500));
        CHECK(schedule.endsAt() == start + absl::Milliseconds(7750));
    }

    SECTION("the steps are in order, and late in any grace period")
    {
        for (const int graceMs : {0, 1, 20, 500, 1000, 2000, 2800, 3000, 4000, 8000, 60000}) {
            CAPTURE(graceMs);
            const absl::Duration grace = absl::Milliseconds(graceMs);
            const shutdown_schedule schedule(start, grace);
            CHECK(schedule.acceptsUntil() <= schedule.answersDueAt());
            CHECK(schedule.answersDueAt() <= schedule.endsAt());
            CHECK(schedule.endsAt() <= start + grace);
            // A target may use all but the last sixth of the grace period.
            CHECK(schedule.answersDueAt() >= start + grace * 5 / 6);
        }
    }

    SECTION("a negative grace period is taken for none")
    {
        const shutdown_schedule schedule(start, -absl::Seconds(1));
        CHECK_FALSE(schedule.isAccepting(start));
        CHECK(schedule.endsAt() == start);
    }

    SECTION("a grace period that changes meanwhile")
    {
        shutdown_schedule schedule(start, absl::Seconds(8));
        schedule.shorten(absl::Seconds(20));
        CHECK(schedule.endsAt() == start + absl::Milliseconds(7750));
        schedule.shorten(absl::Seconds(4));
        CHECK(schedule.endsAt() == start + absl::Milliseconds(3750));
        schedule.shorten(absl::Seconds(8));
        CHECK(schedule.endsAt() == start + absl::Milliseconds(3750));
    }
}
