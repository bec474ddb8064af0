#pragma once

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace quetzal {

class target_connection;

/**
 * Lets streams be read at a common interval instead of at each event, so that the events that
 * arrive meanwhile are relayed together. Reading and writing take most of the processor time of a
 * stream.
 */
class relay_pacer
{
public:
    /** The longest time by which an event is delayed. */
    static constexpr absl::Duration interval = absl::Milliseconds(20);

    explicit relay_pacer(boost::asio::io_context &loop);

    /** Stops reading from a target until the next interval. */
    void hold(const std::shared_ptr<target_connection> &connection);

private:
    void resumeAll();

    boost::asio::steady_timer m_timer;
    std::vector<std::weak_ptr<target_connection>> m_held;
};

} // namespace quetzal
