#pragma once

#include "emulator/caller/load_plan.h"

#include <absl/time/time.h>

#include <cstdint>
#include <random>
#include <vector>

namespace quetzal::bench {

/** Draws that are the same for a seed with every compiler. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** From 0 up to 1. */
    double unit();
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }
    bool isTrue(double probability) { return unit() < probability; }
    /** The wait to the next event of this rate. */
    absl::Duration wait(double perSecond);
    double size(const size_distribution &distribution);
    /** A position, with this weight each. */
    std::size_t pick(const std::vector<double> &weights);

private:
    std::mt19937_64 m_engine;
};

/** Weights of a number of things whose use falls with their rank to this power. */
std::vector<double> skewedWeights(int variantCount, double skew);

} // namespace quetzal::bench
