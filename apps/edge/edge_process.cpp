#include "apps/edge/edge_process.h"

#include "apps/edge/edge_clock.h"
#include "apps/edge/quarantine_log.h"
#include "foundation/hashing/stable_hash.h"
#include "platform/request_dialect.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <unistd.h>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds tickInterval {200};
/** Interval between checks of the settings file, which may change without a signal. */
constexpr int ticksPerSettingsCheck = 15;
constexpr std::uint16_t metricsPort = 9464;
/** Delays of the event loop that are logged, and how often at most. */
constexpr absl::Duration loggedLoopDelay = absl::Milliseconds(100);
constexpr absl::Duration loopDelayLogInterval = absl::Milliseconds(500);
/** The time that one line on the event loop's activity covers. */
constexpr absl::Duration activityLogInterval = absl::Milliseconds(500);
/** Request bodies, and answers, may each occupy at most the memory limit divided by this. */
constexpr std::size_t heldMemoryDivisor = 4;
constexpr std::size_t defaultMemoryMegabytes = 256;
constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;
constexpr int defaultFileDescriptors = 1024;
/** Idle callers are disconnected above the limit of file descriptors divided by this. */
constexpr int callerDescriptorDivisor = 3;
/** Above that bound, the number of connections divided by this, plus one, is closed at once. */
constexpr std::size_t idleCloseDivisor = 8;
/** Rejected connections may be as many as those of callers divided by this. */
constexpr std::size_t rejectedConnectionDivisor = 2;
/** Fraction of the allowed rate of requests to a cold target that is used. */
constexpr double coldLimitSafetyFactor = 0.9;

/** A target's record expires after this many heartbeats without a renewal. */
constexpr int heartbeatsToExpiry = 3;
/** Time for the removal of a record to reach all routers. */
constexpr absl::Duration removalPropagationTime = absl::Milliseconds(1400);

fleet_limits fleetLimits(const edge_settings &settings)
{
    return {.retries = {.window = settings.retryWindow,
                        .ratio = settings.retryRatio,
                        .allowance = settings.retryAllowance},
            .coldFactor = settings.coldFactor * coldLimitSafetyFactor,
            .coldAllowance = settings.coldAllowance * coldLimitSafetyFactor};
}

/**
 * Returns a number that differs between runs of the process. The time of day alone may be the same
 * in two of them, as it may be set back.
 */
std::uint64_t newIncarnation()
{
    const std::string run = std::to_string(timeOfDayMs()) + ' '
        + std::to_string(absl::ToUnixNanos(edgeNow())) + ' ' + std::to_string(getpid());
    return stableHash(run);
}

/** Returns the number of connections from callers above which idle ones are closed. */
std::size_t maxCallerConnections(const edge_settings &settings)
{
    const int descriptors
        = settings.fileDescriptors > 0 ? settings.fileDescriptors : defaultFileDescriptors;
    return static_cast<std::size_t>(descriptors / callerDescriptorDivisor);
}

/** Returns the number of rejected connections that stay open until their callers have read. */
std::size_t maxRejectedConnections(const edge_settings &settings)
{
    return maxCallerConnections(settings) / rejectedConnectionDivisor;
}

std::size_t maxHeldBytes(const edge_settings &settings)
{
    const std::size_t megabytes = settings.memoryMegabytes > 0
        ? static_cast<std::size_t>(settings.memoryMegabytes)
        : defaultMemoryMegabytes;
    return megabytes * bytesPerMegabyte / heldMemoryDivisor;
}

forwarding_options nodeOptions(const edge_settings &settings)
{
    return {.dataCentre = settings.dataCentre,
            .routers = {.self = settings.vm, .members = {}},
            .fleet = fleetLimits(settings),
            .processorShare = settings.processorShare,
            .recordRemovalTime
            = settings.targetHeartbeat * heartbeatsToExpiry + removalPropagationTime,
            .maxAnswerBytes = maxHeldBytes(settings),
            .startedAt = edgeNow(),
            .incarnation = newIncarnation()};
}

} // namespace

edge_process::edge_process(edge_settings settings, settings_reader readSettings)
    : m_settings(std::move(settings))
    , m_lastRead(m_settings)
    , m_readSettings(std::move(readSettings))
    , m_log(m_loop, m_settings.vm)
    , m_node(nodeOptions(m_settings))
    , m_pool(m_loop)
    , m_pacer(m_loop)
    , m_turns(m_loop, [this] { m_node.onTurnEnded(); })
    , m_context {.loop = m_loop,
                 .node = m_node,
                 .pool = m_pool,
                 .pacer = m_pacer,
                 .turns = m_turns,
                 .log = m_log,
                 .metrics = m_metrics,
                 .maxHeldBytes = maxHeldBytes(m_settings)}
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
    , m_timer(m_loop)
    , m_shutdownTimer(m_loop)
    , m_peers(m_loop, m_node,
              {.host = m_settings.callers.host, .port = m_settings.firstInternalPort})
    , m_feed(m_context, m_peers,
             {.store = m_settings.store,
              .vm = m_settings.vm,
              .host = m_settings.callers.host,
              .targetHeartbeat = m_settings.targetHeartbeat,
              .linkMbps = m_settings.linkMbps})
    , m_loopMonitor(m_loop,
                    [this](absl::Duration delay, absl::Time now) { onLoopDelay(delay, now); })
    , m_callerListener(
          m_loop, m_settings.callers,
          [this](auto socket) { onCallerConnection(std::move(socket)); },
          makeAcceptFailureCallback("callers"))
    , m_rejecter(m_loop,
                 {.answer = platform::rejectionText(forwarding_node::connectionRejection()),
                  .maxOpen = maxRejectedConnections(m_settings)})
    , m_readinessListener(
          m_loop, m_settings.readiness,
          makePageCallback([this](const std::string &path) { return statusPage(path); }),
          makeAcceptFailureCallback("readiness"))
    , m_metricsListener(
          m_loop, {.host = m_settings.callers.host, .port = metricsPort},
          makePageCallback([this](const std::string &path) { return statusPage(path); }),
          makeAcceptFailureCallback("metrics"))
    , m_mirrorListener(
          m_loop, {.host = m_settings.callers.host, .port = m_settings.firstInternalPort},
          makePageCallback([this](const std::string &path) { return m_feed.mirrorPage(path); }),
          makeAcceptFailureCallback("copies"))
{
    std::signal(SIGPIPE, SIG_IGN);
}

void edge_process::run()
{
    m_log.line("started")
        .text("dataCentre", m_settings.dataCentre)
        .text("version", QUETZAL_VERSION);
    m_activityLoggedAt = edgeNow();
    waitForSignal();
    m_feed.start();
    m_peers.start();
    m_loopMonitor.start();
    tick();
    m_loop.run();
    m_log.line("stopped").number("openConnections",
                                 static_cast<std::int64_t>(m_connections.size()));
    m_log.flush();
}

void edge_process::requestStop()
{
    boost::asio::post(m_loop, [this] { beginStop(); });
}

void edge_process::onCallerConnection(boost::asio::ip::tcp::socket socket)
{
    m_lastConnectionAt = edgeNow();
    m_context.turns.onWork();
    if (!m_node.tryTakeConnection()) {
        m_metrics.onConnectionRejected();
        m_rejecter.reject(std::move(socket));
        return;
    }
    const auto connection = std::make_shared<caller_connection>(m_context, std::move(socket));
    m_connections.insert(connection);
    const std::weak_ptr<caller_connection> weak = connection;
    connection->setOnClosed([this, weak] { m_connections.erase(weak.lock()); });
    connection->start();
    if (m_connections.size() > maxCallerConnections(m_settings))
        closeLongestIdle();
}

listener::failure_callback edge_process::makeAcceptFailureCallback(std::string purpose)
{
    return [this, purpose = std::move(purpose)](const error_code &error) {
        m_metrics.onAcceptFailed();
        m_log.line("accept_failed")
            .text("purpose", purpose)
            .text("reason", error.message())
            .number("open", static_cast<std::int64_t>(m_connections.size()));
    };
}

void edge_process::onLoopDelay(absl::Duration delay, absl::Time now)
{
    m_metrics.onLoopDelay(delay);
    m_turns.onWork();
    if (now >= m_activityLoggedAt + activityLogInterval)
        logActivity(now);
    if (delay < loggedLoopDelay || now < m_loopDelayLoggedAt + loopDelayLogInterval)
        return;
    m_loopDelayLoggedAt = now;
    m_log.line("loop_delayed")
        .number("delayMs", absl::ToInt64Milliseconds(delay))
        .number("open", static_cast<std::int64_t>(m_connections.size()));
}

void edge_process::logActivity(absl::Time now)
{
    const edge_activity done = m_metrics.takeActivity();
    const absl::Duration covered = now - std::exchange(m_activityLoggedAt, now);
    const std::int64_t datagrams = m_peers.receivedCount();
    const std::int64_t heard = datagrams - std::exchange(m_datagramsLogged, datagrams);
    const std::int64_t unreadable = m_peers.unreadableCount();
    const std::int64_t newUnreadable
        = unreadable - std::exchange(m_unreadableDatagramsLogged, unreadable);
    if (newUnreadable > 0)
        m_log.line("datagrams_unreadable").number("count", newUnreadable);
    if (done.requests + done.callersGone + done.rejectedConnections == 0)
        return;
    m_log.line("activity")
        .number("coveredMs", absl::ToInt64Milliseconds(covered))
        .number("connections", done.connections)
        .number("rejectedConnections", done.rejectedConnections)
        .number("requests", done.requests)
        .number("bodyBytes", done.bodyBytes)
        .number("sends", done.sends)
        .number("turnedAway", done.turnedAway)
        .number("callersGone", done.callersGone)
        .number("minDelayMs", absl::ToInt64Milliseconds(done.minDelay))
        .number("maxDelayMs", absl::ToInt64Milliseconds(done.maxDelay))
        .number("datagrams", heard)
        .number("open", static_cast<std::int64_t>(m_connections.size()));
}

void edge_process::closeLongestIdle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto &connection : m_connections) {
        if (connection->idleSince() < absl::InfiniteFuture())
            idle.push_back(connection);
    }
    const std::size_t count = std::min(idle.size(), m_connections.size() / idleCloseDivisor + 1);
    std::partial_sort(
        idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end(),
        [](const auto &left, const auto &right) { return left->idleSince() < right->idleSince(); });
    idle.resize(count);
    std::size_t closed = 0;
    for (const auto &connection : idle)
        closed += connection->closeIfIdle() ? 1 : 0;
    m_log.line("idle_connections_closed")
        .number("closed", static_cast<std::int64_t>(closed))
        .number("open", static_cast<std::int64_t>(m_connections.size()));
}

void edge_process::waitForSignal()
{
    m_signals.async_wait([this](const error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload("signal");
        else
            beginStop();
        waitForSignal();
    });
}

void edge_process::reload(std::string_view cause)
{
    const edge_settings_read_result reading = m_readSettings();
    m_lastRead = reading.settings;
    for (const settings_fault &fault : reading.faults)
        m_log.line("settings_invalid").text("field", fault.field).text("message", fault.message);
    if (!reading.faults.empty())
        return;
    const bool isChanged = reading.settings != m_settings;
    m_log.line("reloaded").text("cause", cause).flag("changed", isChanged);
    if (!isChanged)
        return;
    edge_settings next = reading.settings;
    const bool needsRestart = next.callers != m_settings.callers
        || next.readiness != m_settings.readiness || next.store != m_settings.store
        || next.processorShare != m_settings.processorShare
        || next.firstInternalPort != m_settings.firstInternalPort;
    if (needsRestart)
        m_log.line("settings_need_restart");
    next.callers = m_settings.callers;
    next.readiness = m_settings.readiness;
    next.store = m_settings.store;
    next.processorShare = m_settings.processorShare;
    next.firstInternalPort = m_settings.firstInternalPort;
    m_settings = next;
    m_node.setFleetLimits(fleetLimits(m_settings));
    m_node.shortenShutdown(m_settings.stopGrace);
}

void edge_process::tick()
{
    const absl::Time now = edgeNow();
    m_feed.maintain(now);
    m_pool.closeExpired(now);
    logQuarantineEvents(m_log, m_node.takeQuarantineEvents(), now);
    if (++m_tickCount % ticksPerSettingsCheck == 0 && m_readSettings().settings != m_lastRead)
        reload("file");
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const error_code &error) {
        if (!error)
            tick();
    });
}

} // namespace quetzal
