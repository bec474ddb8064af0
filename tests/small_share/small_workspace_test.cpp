#include "mixed_fleet/mixed_fleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr int greedyWorkspaces = 5;
constexpr double greedyFactor = 10.0;
constexpr absl::Duration loadDuration = absl::Seconds(20);
constexpr absl::Duration overloadAt = absl::Seconds(4);

/** Several workspaces ask for many times their usual. */
mixed_fleet_options optionsOf(std::uint64_t seed)
{
    random_source random(seed);
    mixed_fleet_options options {.seed = seed, .loadDuration = loadDuration};
    for (int number = 0; number < greedyWorkspaces; ++number)
        options.changes.push_back(
            {.at = overloadAt,
             .duration = loadDuration,
             .factor = greedyFactor,
             .workspace = static_cast<int>(random.below(mixed_fleet::workspaces))});
    return options;
}

/** Returns the violations of those that ask for less than half of what the best one got. */
std::vector<share_violation> violationsWithinShare(mixed_fleet &fleet)
{
    std::vector<share_violation> found = fleet.violations(overloadAt, loadDuration);
    std::erase_if(found, [&](const share_violation &violation) {
        return fleet.isGreedy(violation.workspace)
            || violation.requestedTokens >= violation.bestServedTokens / 2;
    });
    return found;
}

} // namespace

TEST_CASE("a workspace within its share is served while several others ask for many times theirs",
          "[small_share]")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    mixed_fleet fleet(optionsOf(seed));
    INFO("seed " << seed);
    for (const share_violation &violation : violationsWithinShare(fleet))
        FAIL_CHECK(toText(violation));
}
