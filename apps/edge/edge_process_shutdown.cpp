#include "apps/edge/edge_clock.h"
#include "apps/edge/edge_process.h"

#include <chrono>
#include <vector>

namespace quetzal {

using boost::system::error_code;

namespace {

/** Interval during a shutdown; short compared with its steps, even if the grace period is short. */
constexpr std::chrono::milliseconds shutdownTickInterval {20};
/** Time for the first request on a new connection to arrive while the process stops. */
constexpr absl::Duration firstRequestTime = absl::Milliseconds(500);

} // namespace

void edge_process::beginStop()
{
    if (m_context.isStopping)
        return;
    m_context.isStopping = true;
    m_node.beginShutdown(shutdown_schedule(edgeNow(), m_settings.stopGrace));
    m_log.line("stopping")
        .number("openConnections", static_cast<std::int64_t>(m_connections.size()))
        .number("graceMs", absl::ToInt64Milliseconds(m_settings.stopGrace));
    tickShutdown();
}

void edge_process::tickShutdown()
{
    const shutdown_schedule &schedule = *m_node.shutdown();
    const absl::Time now = edgeNow();
    if (!schedule.isAccepting(now)) {
        closeIdleConnections(now);
        if (now >= schedule.answersDueAt())
            endRequests();
        // A connection may still be on its way to a process that ends early.
        const bool isQuiet = m_connections.empty() && now >= m_lastConnectionAt + firstRequestTime;
        if (isQuiet || now >= schedule.endsAt()) {
            m_loop.stop();
            return;
        }
    }
    m_shutdownTimer.expires_after(shutdownTickInterval);
    m_shutdownTimer.async_wait([this](const error_code &error) {
        if (!error)
            tickShutdown();
    });
}

void edge_process::closeIdleConnections(absl::Time now)
{
    const std::vector<std::shared_ptr<caller_connection>> connections(m_connections.begin(),
                                                                      m_connections.end());
    for (const auto &connection : connections) {
        if (connection->idleSince() + firstRequestTime <= now)
            connection->closeIfIdle();
    }
}

void edge_process::endRequests()
{
    const std::vector<std::shared_ptr<caller_connection>> connections(m_connections.begin(),
                                                                      m_connections.end());
    for (const auto &connection : connections)
        connection->endForShutdown();
}

} // namespace quetzal
