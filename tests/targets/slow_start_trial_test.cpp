#include "simulated_target.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

using namespace quetzal;

namespace {

struct growth_case
{
    const char *name;
    growth_rule growth;
    int answersPerStep;
};

struct growth_figures
{
    double secondsToWarm = 0;
    double answersIn15Seconds = 0;
    double overloadedSeconds = 0;
};

/** How the capacity of a new instance grows. */
struct warming_case
{
    const char *name;
    /** Time for which the instance has capacity for one request only, and reports that. */
    absl::Duration coldTime;
    /** Time in which the capacity doubles after that. */
    absl::Duration doublingTime;

    double capacityAt(absl::Duration uptime) const
    {
        return std::exp2(
            absl::FDivDuration(std::max(uptime - coldTime, absl::ZeroDuration()), doublingTime));
    }
};

growth_figures measure(const growth_case &rule, int warmLimit, const warming_case &warming)
{
    constexpr int runs = 20;
    const absl::Duration step = absl::Milliseconds(50);
    growth_figures mean;
    for (int seed = 0; seed < runs; ++seed) {
        simulated_target target({.warmLimit = warmLimit,
                                 .coldLimit = 1,
                                 .answersPerStep = rule.answersPerStep,
                                 .growth = rule.growth},
                                seed);
        target.setColdTime(warming.coldTime);
        absl::Duration warmAfter = absl::Seconds(60);
        for (absl::Duration uptime; uptime < absl::Seconds(60); uptime += step) {
            target.run(step);
            if (target.phase() == target_phase::Warm)
                warmAfter = std::min(warmAfter, uptime);
            if (target.running() > warming.capacityAt(uptime))
                mean.overloadedSeconds += absl::ToDoubleSeconds(step) / runs;
            if (uptime == absl::Seconds(15))
                mean.answersIn15Seconds += 1.0 * target.answered() / runs;
        }
        mean.secondsToWarm += absl::ToDoubleSeconds(warmAfter) / runs;
    }
    return mean;
}

} // namespace

TEST_CASE("measurements of the slow start rules", "[.trial]")
{
    const std::vector<growth_case> rules = {{"doubling per round", growth_rule::Doubling, 0},
                                            {"+1 per 2 answers", growth_rule::Stepwise, 2},
                                            {"+1 per 4 answers", growth_rule::Stepwise, 4}};
    const std::vector<warming_case> warmings
        = {{"doubles in 0.5 s", absl::ZeroDuration(), absl::Seconds(0.5)},
           {"doubles in 1 s", absl::ZeroDuration(), absl::Seconds(1)},
           {"doubles in 2 s", absl::ZeroDuration(), absl::Seconds(2)},
           {"cold for 5 s, says so", absl::Seconds(5), absl::Seconds(0.01)}};
    std::printf("%-22s %-20s %5s %9s %9s %9s\n", "target", "rule", "limit", "s to warm", "answers",
                "s above");
    for (const warming_case &warming : warmings) {
        for (const int warmLimit : {8, 32}) {
            for (const growth_case &rule : rules) {
                const growth_figures figures = measure(rule, warmLimit, warming);
                std::printf("%-22s %-20s %5d %9.1f %9.1f %9.2f\n", warming.name, rule.name,
                            warmLimit, figures.secondsToWarm, figures.answersIn15Seconds,
                            figures.overloadedSeconds);
            }
        }
    }
}
