#include "apps/edge/relay_pacer.h"

#include "apps/edge/target_connection.h"

#include <utility>

namespace quetzal {

relay_pacer::relay_pacer(boost::asio::io_context &loop)
    : m_timer(loop)
{
}

void relay_pacer::hold(const std::shared_ptr<target_connection> &connection)
{
    connection->setHeld(true);
    m_held.push_back(connection);
    if (m_held.size() > 1)
        return;
    m_timer.expires_after(absl::ToChronoNanoseconds(interval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            resumeAll();
    });
}

void relay_pacer::resumeAll()
{
    const auto held = std::exchange(m_held, {});
    for (const auto &entry : held) {
        if (const auto connection = entry.lock())
            connection->setHeld(false);
    }
}

} // namespace quetzal
