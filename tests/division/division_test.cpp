#include "mixed_fleet/mixed_fleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <numeric>
#include <vector>

using namespace quetzal;
using namespace quetzal::bench;

namespace {

constexpr absl::Duration loadDuration = absl::Seconds(24);
constexpr absl::Duration overloadAt = absl::Seconds(4);
/** A division that is max-min has about 2; a margin this low is a few requests from a violation. */
constexpr double minMargin = 1.5;
/** While work is refused at least this part of the targets' time must go into work. */
constexpr double minBusyFraction = 0.75;
/** The load of the fleet's usual size is for 20 targets. */
constexpr double usualFactor = 2.4;
constexpr double manyRefused = 0.1;

/** Three groups of workspaces ask for many times their usual, and a quarter of the targets fails.
 */
mixed_fleet_options overlappingOverloads(std::uint64_t seed)
{
    random_source random(seed);
    mixed_fleet_options options {
        .seed = seed,
        .targets = 60,
        .loadDuration = loadDuration,
        .outage = {.targets = 5, .from = absl::Seconds(10.5), .until = absl::Seconds(15)}};
    options.changes.push_back({.duration = loadDuration, .factor = usualFactor});
    std::vector<int> order(mixed_fleet::workspaces);
    std::iota(order.begin(), order.end(), 0);
    const auto overload = [&](int count, double factor, double from, double until) {
        for (int number = 0; number < count; ++number) {
            const std::size_t picked = random.below(order.size());
            options.changes.push_back({.at = absl::Seconds(from),
                                       .duration = absl::Seconds(until - from),
                                       .factor = factor,
                                       .workspace = order[picked]});
            order.erase(order.begin() + static_cast<std::ptrdiff_t>(picked));
        }
    };
    overload(4, 10.1, 3.5, 11.7);
    overload(3, 4.0, 9.5, 16.1);
    overload(5, 12.7, 13.5, 22.0);
    options.singleVmWorkspaces = {static_cast<std::size_t>(options.changes[1].workspace),
                                  static_cast<std::size_t>(options.changes.back().workspace)};
    return options;
}

} // namespace

TEST_CASE("capacity is divided max-min while demand and targets change", "[division]")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    mixed_fleet fleet(overlappingOverloads(seed));
    INFO("seed " << seed);

    // Each workspace that waits gets its share.
    for (const share_margin &margin : fleet.margins(overloadAt, loadDuration)) {
        INFO("workspace " << margin.workspace << " from "
                          << margin.from - fleet.callers().startedAt());
        CHECK(margin.ratio >= minMargin);
    }
    // Targets have work in each second in which much of it is refused.
    for (int second = 4; second < loadDuration / absl::Seconds(1); ++second) {
        if (fleet.refusedFraction(second) < manyRefused)
            continue;
        INFO("second " << second << ", refused " << fleet.refusedFraction(second));
        CHECK(fleet.busyFractions()[static_cast<std::size_t>(second)] >= minBusyFraction);
    }
}
