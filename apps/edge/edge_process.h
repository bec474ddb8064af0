#pragma once

#include "apps/edge/caller_connection.h"
#include "apps/edge/connection_rejecter.h"
#include "apps/edge/edge_context.h"
#include "apps/edge/listener.h"
#include "apps/edge/loop_monitor.h"
#include "apps/edge/peer_exchange.h"
#include "apps/edge/status_connection.h"
#include "apps/edge/store_feed.h"
#include "forwarding/settings/edge_settings.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** One edge process: connects a forwarding_node to sockets, timers and signals. */
class edge_process
{
public:
    /** Reads the settings file. */
    using settings_reader = std::function<edge_settings_read_result()>;

    /** Throws std::system_error if an address can't be bound. */
    edge_process(edge_settings settings, settings_reader readSettings);

    /** Runs the event loop until a graceful shutdown is complete. */
    void run();
    /** Begins a graceful shutdown, as SIGTERM does; may be called from any thread. */
    void requestStop();

private:
    void onCallerConnection(boost::asio::ip::tcp::socket socket);
    /** Returns a callback that logs and counts failures to accept connections. */
    listener::failure_callback makeAcceptFailureCallback(std::string purpose);
    void onLoopDelay(absl::Duration delay, absl::Time now);
    /** Logs what the process did since the last such line, unless there was no request. */
    void logActivity(absl::Time now);
    void closeLongestIdle();
    void waitForSignal();
    void reload(std::string_view cause);
    void beginStop();
    void tick();
    /** Performs what the shutdown requires now, and repeats that until the process ends. */
    void tickShutdown();
    /** Closes idle connections, except new ones, whose first request may be on its way. */
    void closeIdleConnections(absl::Time now);
    /** Ends the requests in progress, because their answers are due. */
    void endRequests();
    bool isReady() const;
    status_page statusPage(const std::string &path);
    std::string metricsText();
    /** Returns a callback that serves pages on accepted connections. */
    listener::callback makePageCallback(status_connection::handler answer);

    edge_settings m_settings;
    /** Settings last read from the file, whether or not they were put into effect. */
    edge_settings m_lastRead;
    settings_reader m_readSettings;
    int m_tickCount = 0;
    boost::asio::io_context m_loop;
    event_log m_log;
    forwarding_node m_node;
    target_pool m_pool;
    relay_pacer m_pacer;
    loop_turns m_turns;
    edge_metrics m_metrics;
    edge_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_shutdownTimer;
    peer_exchange m_peers;
    store_feed m_feed;
    loop_monitor m_loopMonitor;
    absl::Time m_loopDelayLoggedAt = absl::InfinitePast();
    absl::Time m_activityLoggedAt;
    /** When a caller last connected. */
    absl::Time m_lastConnectionAt = absl::InfinitePast();
    std::int64_t m_datagramsLogged = 0;
    std::int64_t m_unreadableDatagramsLogged = 0;
    listener m_callerListener;
    connection_rejecter m_rejecter;
    listener m_readinessListener;
    listener m_metricsListener;
    listener m_mirrorListener;
    absl::flat_hash_set<std::shared_ptr<caller_connection>> m_connections;
};

} // namespace quetzal
