#include "apps/edge/loop_turns.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace quetzal {

loop_turns::loop_turns(boost::asio::io_context &loop, std::function<void()> onEnded)
    : m_loop(loop)
    , m_onEnded(std::move(onEnded))
{
}

void loop_turns::onWork()
{
    if (std::exchange(m_isEndPending, true))
        return;
    boost::asio::post(m_loop, [this] {
        m_isEndPending = false;
        m_onEnded();
    });
}

} // namespace quetzal
