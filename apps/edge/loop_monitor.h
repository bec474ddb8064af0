#pragma once

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace quetzal {

/**
 * Measures how late the event loop runs its timers, which is how long an event waits for the
 * handlers ahead of it.
 */
class loop_monitor
{
public:
    /** The time between two measurements. */
    static constexpr absl::Duration interval = absl::Milliseconds(50);

    /** Receives each delay and the present time; the next one is due an interval later. */
    using callback = std::function<void(absl::Duration delay, absl::Time now)>;

    loop_monitor(boost::asio::io_context &loop, callback onMeasured);

    /** Starts measuring. */
    void start() { schedule(); }

private:
    void schedule();

    boost::asio::steady_timer m_timer;
    callback m_onMeasured;
};

} // namespace quetzal
