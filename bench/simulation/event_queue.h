#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace quetzal::bench {

/** Runs events in simulated time; events at the same time run in the order of scheduling. */
class event_queue
{
public:
    explicit event_queue(absl::Time start)
        : m_now(start)
    {
    }

    absl::Time now() const { return m_now; }
    /** Schedules an action to run after a delay. */
    void after(absl::Duration delay, std::function<void()> action);
    /** Schedules an action to run periodically, the first time after one period. */
    void every(absl::Duration period, const std::function<void()> &action);
    /** Runs all events up to and including a time, and advances now() to it. */
    void runUntil(absl::Time end);

private:
    struct event
    {
        absl::Time when;
        std::int64_t number = 0;
        std::function<void()> action;
    };
    struct is_later
    {
        bool operator()(const event &left, const event &right) const
        {
            return std::pair(left.when, left.number) > std::pair(right.when, right.number);
        }
    };

    absl::Time m_now;
    std::int64_t m_scheduled = 0;
    std::priority_queue<event, std::vector<event>, is_later> m_events;
};

} // namespace quetzal::bench
