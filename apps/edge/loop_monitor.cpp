#include "apps/edge/loop_monitor.h"

#include "apps/edge/edge_clock.h"

#include <algorithm>
#include <utility>

namespace quetzal {

loop_monitor::loop_monitor(boost::asio::io_context &loop, callback onMeasured)
    : m_timer(loop)
    , m_onMeasured(std::move(onMeasured))
{
}

void loop_monitor::schedule()
{
    m_timer.expires_after(absl::ToChronoNanoseconds(interval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        const auto late = std::chrono::steady_clock::now() - m_timer.expiry();
        m_onMeasured(std::max(absl::FromChrono(late), absl::ZeroDuration()), edgeNow());
        schedule();
    });
}

} // namespace quetzal
