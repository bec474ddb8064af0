#pragma once

#include "emulator/caller/load_plan.h"

#include <absl/time/time.h>

#include <cstdint>
#include <random>
#include <vector>

namespace quetzal::bench {

/** Pseudo-random numbers, reproducible for a seed with every compiler. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** Returns a uniformly distributed number in [0, 1). */
    double unit();
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }
    bool isTrue(double probability) { return unit() < probability; }
    /** Returns the time to the next event of a Poisson process; infinite if the rate is 0. */
    absl::Duration wait(double perSecond);
    double size(const size_distribution &distribution);
    /** Returns a random index, weighted by the values at each index. */
    std::size_t pick(const std::vector<double> &weights);

private:
    std::mt19937_64 m_engine;
};

/** Returns Zipf weights: the weight of each variant is its rank to the power of -skew. */
std::vector<double> skewedWeights(int variantCount, double skew);

} // namespace quetzal::bench
