#pragma once

#include <cstdint>

namespace quetzal {

/**
 * A seeded random number generator (splitmix64), which owners pass to their decision objects.
 *
 * The same seed produces the same sequence on every platform, unlike the distributions of the
 * standard library. Satisfies std::uniform_random_bit_generator.
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

    /** Returns the next 64 random bits. */
    result_type operator()();

    /** Returns a uniformly distributed number in [0, 1). */
    double uniform();

    /** Returns an integer in [0, bound); the bound must be positive. */
    std::uint64_t below(std::uint64_t bound);

    /** Returns a normally distributed number with mean 0 and standard deviation 1. */
    double normal();

private:
    std::uint64_t m_state;
};

} // namespace quetzal
