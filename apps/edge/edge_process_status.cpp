#include "apps/edge/edge_clock.h"
#include "apps/edge/edge_process.h"

#include <memory>
#include <utility>

namespace quetzal {

namespace {

constexpr char metricsPath[] = "/metrics";
constexpr int statusUnavailable = 503;
constexpr int statusOk = 200;

} // namespace

bool edge_process::isReady() const
{
    return !m_context.isStopping && m_feed.isComplete();
}

status_page edge_process::statusPage(const std::string &path)
{
    if (path == metricsPath)
        return {.status = statusOk, .body = metricsText()};
    return isReady() ? status_page {.status = statusOk, .body = "ready\n"}
                     : status_page {.status = statusUnavailable, .body = "not ready\n"};
}

listener::callback edge_process::makePageCallback(status_connection::handler answer)
{
    return [this, answer = std::move(answer)](boost::asio::ip::tcp::socket socket) {
        std::make_shared<status_connection>(m_loop, std::move(socket), answer)->start();
    };
}

std::string edge_process::metricsText()
{
    m_metrics.set("open_connections", "Connections from callers.",
                  static_cast<std::int64_t>(m_connections.size()));
    m_metrics.set("target_connections_opened", "Connections to targets since the start.",
                  m_pool.openedCount());
    m_metrics.set("digests_sent", "Datagrams to other routers since the start.",
                  m_peers.sentCount());
    m_metrics.set("digests_received", "Datagrams from other routers since the start.",
                  m_peers.receivedCount());
    m_metrics.set("datagrams_unreadable", "Datagrams that could not be read since the start.",
                  m_peers.unreadableCount());
    m_metrics.set("routers", "Routers that share the fleet's limits.",
                  static_cast<std::int64_t>(m_node.routers().members.size()));
    m_metrics.set("configuration_version", "The version of the configuration in force.",
                  m_node.routes() ? m_node.routes()->version() : 0);
    m_feed.writeMetrics(m_metrics, edgeNow());
    m_metrics.set("held_prompt_parts", "Prompt parts whose requests are rejected.",
                  static_cast<std::int64_t>(m_node.quarantine().held().size()));
    m_metrics.set("held_answer_bytes", "Bytes of answers held in memory.",
                  static_cast<std::int64_t>(m_node.answerMemory().usedBytes()));
    m_metrics.set("held_bytes", "Bytes of requests held in memory.",
                  static_cast<std::int64_t>(m_context.heldBytes));
    m_metrics.set("log_lines_dropped", "Log lines left out since the start.",
                  static_cast<std::int64_t>(m_log.droppedCount()));
    return m_metrics.text();
}

} // namespace quetzal
