#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace quetzal {

/** Sums tokens over the last seconds, in steps of a quarter of a second. */
class token_window
{
public:
    static constexpr absl::Duration step = absl::Milliseconds(250);
    static constexpr std::size_t steps = 16;
    /** The span of the sum: all steps. */
    static constexpr absl::Duration span = absl::Milliseconds(250 * steps);

    void add(std::int64_t tokens, absl::Time now);
    std::int64_t sum(absl::Time now) const;

private:
    struct slot
    {
        std::int64_t number = -1;
        std::int64_t tokens = 0;
    };

    std::array<slot, steps> m_slots {};
};

} // namespace quetzal
