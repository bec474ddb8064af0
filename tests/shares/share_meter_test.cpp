#include "emulator/observation/share_meter.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal::bench;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::int64_t seconds = share_meter::spanSeconds;
constexpr std::int64_t tokens = 1000;
constexpr int requestsPerSecond = 40;

/** Requests of one workspace in each second, of which some start. */
void request(share_meter &meter, std::size_t workspace, int started)
{
    for (std::int64_t second = 0; second < seconds; ++second) {
        const absl::Time now = start + absl::Seconds(second);
        for (int number = 0; number < requestsPerSecond; ++number) {
            const std::string id = std::to_string(workspace) + "/" + std::to_string(second) + "/"
                + std::to_string(number);
            meter.onRequested(id, workspace, tokens, now);
            if (number < started)
                meter.onExecutionStarted(id, now);
        }
    }
}

} // namespace

TEST_CASE("a workspace is kept short if it waits and gets under half of the best served",
          "[shares]")
{
    share_meter meter;
    request(meter, 1, requestsPerSecond);
    const absl::Time end = start + absl::Seconds(seconds);

    SECTION("a workspace that gets a third of what it asks for, and is refused in each second")
    {
        request(meter, 2, requestsPerSecond / 3);
        for (std::int64_t second = 0; second < seconds; ++second)
            meter.onRefused(2, start + absl::Seconds(second));
        const auto found = meter.violations(start, end);
        REQUIRE(found.size() == 1);
        CHECK(found[0].workspace == 2);
        CHECK(found[0].best == 1);
        CHECK(found[0].requestedTokens == seconds * requestsPerSecond * tokens);
        CHECK(found[0].servedTokens == seconds * (requestsPerSecond / 3) * tokens);

        SECTION("its requests at three of the largest size make up for a small lack")
        {
            meter.onRequested("large", 2, 15 * tokens, start);
            CHECK(meter.violations(start, end).empty());
        }
    }

    SECTION("a late answer counts as waiting from the objective to the answer")
    {
        request(meter, 2, requestsPerSecond / 3);
        meter.onLate(2, start, end - absl::Seconds(1));
        CHECK(meter.violations(start, end).size() == 1);
    }

    SECTION("not a workspace that did not wait in one of the seconds")
    {
        request(meter, 2, requestsPerSecond / 3);
        meter.onLate(2, start, end - absl::Seconds(2));
        CHECK(meter.violations(start, end).empty());
    }

    SECTION("not a workspace that gets more than half of what it asks for")
    {
        request(meter, 2, 2 * requestsPerSecond / 3);
        meter.onLate(2, start, end);
        CHECK(meter.violations(start, end).empty());
    }
}
