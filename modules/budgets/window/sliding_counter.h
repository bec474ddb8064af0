#pragma once

#include <absl/time/time.h>

#include <deque>

namespace quetzal {

/** Counts events within the last span of time, exactly. */
class sliding_counter
{
public:
    explicit sliding_counter(absl::Duration span);

    void add(absl::Time now);
    std::size_t count(absl::Time now) const;
    /** When the count will have fallen below this limit; now when it is below. */
    absl::Time whenBelow(std::size_t limit, absl::Time now) const;

private:
    void evictExpired(absl::Time now) const;

    absl::Duration m_span;
    mutable std::deque<absl::Time> m_times;
};

} // namespace quetzal
