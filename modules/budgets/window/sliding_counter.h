#pragma once

#include <absl/time/time.h>

#include <deque>

namespace quetzal {

/** Counts events within a sliding time window exactly, by keeping the time of each event. */
class sliding_counter
{
public:
    /** Creates a counter with a window of this span. */
    explicit sliding_counter(absl::Duration span);

    /** Counts one event at this time. */
    void add(absl::Time now);
    /** Returns the number of events within the window that ends now. */
    std::size_t count(absl::Time now) const;
    /**
     * Returns when the count falls below the limit if no event is added: now if it is below
     * already, the infinite future for a limit of 0.
     */
    absl::Time whenBelow(std::size_t limit, absl::Time now) const;

private:
    void evictExpired(absl::Time now) const;

    absl::Duration m_span;
    mutable std::deque<absl::Time> m_times;
};

} // namespace quetzal
