#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>

namespace quetzal {

/** Sums tokens over a sliding window, in steps of an eighth of a second. */
class token_window
{
public:
    static constexpr std::int64_t stepMs = 125;
    static constexpr std::size_t steps = 4;
    /** The resolution of the window. */
    static constexpr absl::Duration step = absl::Milliseconds(stepMs);
    /** The length of the window: the shorter, the sooner a sudden demand is known. */
    static constexpr absl::Duration span = absl::Milliseconds(stepMs * steps);

    /** Counts tokens at this time. */
    void add(std::int64_t tokens, absl::Time now);
    /** Returns the tokens within the window that ends now. */
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
