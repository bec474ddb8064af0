#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>

namespace quetzal {

/**
 * Tells the ends of the event loop's turns. A turn ends when all handlers have run that were ready
 * when its first piece of work came.
 */
class loop_turns
{
public:
    loop_turns(boost::asio::io_context &loop, std::function<void()> onEnded);

    /** Must be called for each piece of work whose number in a turn counts. */
    void onWork();

private:
    boost::asio::io_context &m_loop;
    std::function<void()> m_onEnded;
    bool m_isEndPending = false;
};

} // namespace quetzal
