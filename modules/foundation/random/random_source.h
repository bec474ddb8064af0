#pragma once

#include <cstdint>

namespace quetzal {

/**
 * A seeded generator of random numbers (splitmix64), handed to decision objects by their owner.
 *
 * The same seed gives the same sequence on every platform, unlike the distributions of the
 * standard library. It satisfies std::uniform_random_bit_generator.
 */
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~result_type {0}; }

    /** The next 64 random bits. */
    result_type operator()();

    /** A number in [0, 1). */
    double uniform();

    /** An integer in [0, bound); bound must be positive. */
    std::uint64_t below(std::uint64_t bound);

    /** A normally distributed number with mean 0 and standard deviation 1. */
    double normal();

private:
    std::uint64_t m_state;
};

} // namespace quetzal
