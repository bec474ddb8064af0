#include "apps/edge/edge_process.h"

#include "apps/edge/edge_clock.h"
#include "platform/platform.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <utility>

namespace quetzal {

using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds tickInterval {200};
/** The settings file may change without a signal. */
constexpr int ticksPerSettingsCheck = 15;
/** The prefix of the records of this product's routers. */
constexpr char memberPrefix[] = "quetzalreach/members/";
constexpr std::uint16_t metricsPort = 9464;
constexpr char metricsPath[] = "/metrics";
constexpr int statusUnavailable = 503;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;
constexpr absl::Duration announceTimeout = absl::Seconds(1);
/** How long new requests are still taken after the order to stop. */
constexpr absl::Duration acceptAfterStop = absl::Milliseconds(2800);
/** Left of the grace period when the process ends whatever is open. */
constexpr absl::Duration stopReserve = absl::Milliseconds(250);
/** The part of the memory that requests may hold. */
constexpr std::size_t heldMemoryPart = 4;
constexpr std::size_t usualMemoryMegabytes = 256;
constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;
constexpr int usualFileDescriptors = 1024;
/** One part in so many of the descriptors is for callers that may be idle. */
constexpr int callerDescriptorPart = 3;
/** One part in so many of the connections is closed at once when there are too many. */
constexpr std::size_t idlePartClosed = 8;
/** Requests a second to a cold target stay below the limit by this factor. */
constexpr double coldSafety = 0.9;

fleet_limits fleetLimits(const edge_settings &settings)
{
    return {.retries = {.window = settings.retryWindow,
                        .ratio = settings.retryRatio,
                        .allowance = settings.retryAllowance},
            .coldFactor = settings.coldFactor * coldSafety,
            .coldAllowance = settings.coldAllowance * coldSafety};
}

forwarding_options nodeOptions(const edge_settings &settings)
{
    return {.dataCentre = settings.dataCentre,
            .routers = {.self = settings.vm, .members = {settings.vm}},
            .fleet = fleetLimits(settings),
            .life = static_cast<std::uint64_t>(timeOfDayMs())};
}

/** Connections from callers above which idle ones are closed. */
std::size_t mostCallerConnections(const edge_settings &settings)
{
    const int descriptors
        = settings.fileDescriptors > 0 ? settings.fileDescriptors : usualFileDescriptors;
    return static_cast<std::size_t>(descriptors / callerDescriptorPart);
}

std::size_t mostHeldBytes(const edge_settings &settings)
{
    const std::size_t megabytes = settings.memoryMegabytes > 0
        ? static_cast<std::size_t>(settings.memoryMegabytes)
        : usualMemoryMegabytes;
    return megabytes * bytesPerMegabyte / heldMemoryPart;
}

} // namespace

edge_process::edge_process(edge_settings settings, settings_reader readSettings)
    : m_settings(std::move(settings))
    , m_lastRead(m_settings)
    , m_readSettings(std::move(readSettings))
    , m_log(m_loop, m_settings.vm)
    , m_node(nodeOptions(m_settings))
    , m_pool(m_loop)
    , m_context {.loop = m_loop,
                 .node = m_node,
                 .pool = m_pool,
                 .log = m_log,
                 .metrics = m_metrics,
                 .mostHeldBytes = mostHeldBytes(m_settings)}
    , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
    , m_timer(m_loop)
    , m_peers(m_loop, m_node,
              {.host = m_settings.callers.host, .port = m_settings.firstInternalPort})
    , m_configuration(m_loop, m_log, m_settings.store, platform::operatorPrefix,
                      {.onChanges = [this](const auto &news, bool) { onConfiguration(news); },
                       .onTouch = {},
                       .nextPeer =
                           [this] {
                               return m_peers.nextPeer();
                           }})
    , m_targets(m_loop, m_log, m_settings.store, platform::targetPrefix,
                {.onChanges = [this](const auto &news, bool first) { onTargets(news, first); },
                 .onTouch = [this](bool inTouch) { onTargetsTouch(inTouch); },
                 .nextPeer =
                     [this] {
                         return m_peers.nextPeer();
                     }})
    , m_members(m_loop, m_log, m_settings.store, memberPrefix,
                {.onChanges = [this](const auto &, bool) { onMembers(); },
                 .onTouch = {},
                 .nextPeer =
                     [this] {
                         return m_peers.nextPeer();
                     }})
    , m_announcer(std::make_shared<http_client>(m_loop, m_settings.store))
    , m_callers(m_loop, m_settings.callers, [this](auto socket) { onCaller(std::move(socket)); })
    , m_readiness(m_loop, m_settings.readiness,
                  pages([this](const std::string &path) { return statusPage(path); }))
    , m_metricsPage(m_loop, {.host = m_settings.callers.host, .port = metricsPort},
                    pages([this](const std::string &path) { return statusPage(path); }))
    , m_copies(m_loop, {.host = m_settings.callers.host, .port = m_settings.firstInternalPort},
               pages([this](const std::string &path) { return copyPage(path); }))
{
    std::signal(SIGPIPE, SIG_IGN);
}

void edge_process::run()
{
    m_log.line("started")
        .text("dataCentre", m_settings.dataCentre)
        .text("version", QUETZAL_VERSION);
    waitForSignal();
    m_configuration.start();
    m_targets.start();
    m_members.start();
    m_peers.start();
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

void edge_process::onCaller(boost::asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<caller_connection>(m_context, std::move(socket));
    m_connections.insert(connection);
    const std::weak_ptr<caller_connection> weak = connection;
    connection->setOnClosed([this, weak] { m_connections.erase(weak.lock()); });
    connection->start();
    if (m_connections.size() > mostCallerConnections(m_settings))
        closeLongestIdle();
}

void edge_process::closeLongestIdle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (const auto &connection : m_connections) {
        if (connection->idleSince() < absl::InfiniteFuture())
            idle.push_back(connection);
    }
    const std::size_t count = std::min(idle.size(), m_connections.size() / idlePartClosed + 1);
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

void edge_process::onConfiguration(const std::vector<key_change> &changes)
{
    bool evacuationChanged = false;
    for (const key_change &change : changes) {
        if (change.key == platform::configurationKey && change.value) {
            auto options = platform::readConfiguration(*change.value);
            if (!options) {
                m_log.line("configuration_unreadable").number("revision", change.revision);
                continue;
            }
            const std::int64_t version = options->version;
            const bool taken
                = m_node.setRoutes(std::make_shared<const route_table>(std::move(*options)));
            m_log.line("configuration")
                .number("version", version)
                .number("revision", change.revision)
                .flag("inForce", taken);
        }
        evacuationChanged = evacuationChanged || !platform::evacuatedDataCentre(change.key).empty();
    }
    if (!evacuationChanged)
        return;
    absl::flat_hash_set<std::string> evacuated;
    for (const stored_item &item : m_configuration.follower().mirror().items()) {
        const std::string name = platform::evacuatedDataCentre(item.key);
        if (!name.empty())
            evacuated.insert(name);
    }
    m_log.line("evacuation").number("dataCentres", static_cast<std::int64_t>(evacuated.size()));
    m_node.setEvacuated(evacuated, edgeNow());
}

void edge_process::onTargets(const std::vector<key_change> &changes, bool first)
{
    const absl::Time now = edgeNow();
    for (const key_change &change : changes) {
        const std::string id = platform::targetIdOf(change.key);
        const auto record
            = change.value ? platform::readTarget(change.key, *change.value) : std::nullopt;
        auto line = m_log.line(record ? "target" : "target_removed");
        line.text("target", id).number("revision", change.revision);
        if (!record) {
            line.flag("unreadable", change.value.has_value());
            m_node.removeTarget(id, now);
            m_pool.closeIdle(id);
            continue;
        }
        line.text("service", record->service)
            .text("dataCentre", record->dataCentre)
            .flag("leaving", record->isLeaving)
            .number("coldMs", absl::ToInt64Milliseconds(record->coldFor))
            .number("startedAtMs", record->startedAtMs);
        m_node.applyTarget(*record, first, now);
        if (record->isLeaving)
            m_pool.closeIdle(id);
    }
}

void edge_process::onTargetsTouch(bool inTouch)
{
    if (inTouch)
        m_node.directory().onListBack(edgeNow());
    else
        m_node.directory().onListLost(edgeNow());
}

void edge_process::onMembers()
{
    router_group group {.self = m_settings.vm, .members = {m_settings.vm}};
    std::vector<std::string> hosts;
    const std::string_view prefix = memberPrefix;
    for (const stored_item &item : m_members.follower().mirror().items()) {
        const std::string name = item.key.substr(prefix.size());
        if (name == m_settings.vm)
            continue;
        group.members.push_back(name);
        hosts.push_back(item.value);
    }
    m_peers.setPeers(std::move(hosts));
    m_log.line("routers").number("count", static_cast<std::int64_t>(group.members.size()));
    m_node.setRouters(std::move(group));
}

void edge_process::announce()
{
    if (m_isAnnounced || m_isAnnouncing || !m_members.follower().mirror().isComplete())
        return;
    const std::string key = memberPrefix + m_settings.vm;
    const std::vector<stored_item> items = m_members.follower().mirror().items();
    m_isAnnounced = std::any_of(items.begin(), items.end(), [&](const stored_item &item) {
        return item.key == key && item.value == m_settings.callers.host;
    });
    if (m_isAnnounced)
        return;
    m_isAnnouncing = true;
    const platform::store_call call = platform::writeCall(key, m_settings.callers.host);
    m_announcer->call({.method = call.method,
                       .target = call.target,
                       .body = call.body,
                       .timeout = announceTimeout},
                      [this](const std::optional<http_result> &result) {
                          m_isAnnouncing = false;
                          m_isAnnounced = result && result->status == statusOk;
                      });
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
    const edge_settings_reading reading = m_readSettings();
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
        || next.firstInternalPort != m_settings.firstInternalPort;
    if (needsRestart)
        m_log.line("settings_need_restart");
    next.callers = m_settings.callers;
    next.readiness = m_settings.readiness;
    next.store = m_settings.store;
    next.firstInternalPort = m_settings.firstInternalPort;
    m_settings = next;
    m_node.setFleetLimits(fleetLimits(m_settings));
}

void edge_process::beginStop()
{
    if (m_stopBegan)
        return;
    m_stopBegan = edgeNow();
    m_context.isStopping = true;
    m_log.line("stopping")
        .number("openConnections", static_cast<std::int64_t>(m_connections.size()));
}

void edge_process::tick()
{
    const absl::Time now = edgeNow();
    announce();
    m_pool.closeExpired(now);
    if (++m_ticks % ticksPerSettingsCheck == 0 && m_readSettings().settings != m_lastRead)
        reload("file");
    if (m_stopBegan)
        tickStop(now);
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const error_code &error) {
        if (!error)
            tick();
    });
}

void edge_process::tickStop(absl::Time now)
{
    const absl::Duration since = now - *m_stopBegan;
    if (since < acceptAfterStop)
        return;
    m_context.isClosed = true;
    const std::vector<std::shared_ptr<caller_connection>> connections(m_connections.begin(),
                                                                      m_connections.end());
    for (const auto &connection : connections)
        connection->closeIfIdle();
    if (m_connections.empty() || since > m_settings.stopGrace - stopReserve)
        m_loop.stop();
}

bool edge_process::isReady() const
{
    return !m_stopBegan && m_node.routes() && m_targets.follower().mirror().isComplete()
        && m_members.follower().mirror().isComplete();
}

status_page edge_process::statusPage(const std::string &path)
{
    if (path == metricsPath)
        return {.status = statusOk, .body = metricsText()};
    return isReady() ? status_page {.status = statusOk, .body = "ready\n"}
                     : status_page {.status = statusUnavailable, .body = "not ready\n"};
}

listener::callback edge_process::pages(status_connection::handler answer)
{
    return [this, answer = std::move(answer)](boost::asio::ip::tcp::socket socket) {
        std::make_shared<status_connection>(m_loop, std::move(socket), answer)->start();
    };
}

status_page edge_process::copyPage(const std::string &path) const
{
    for (const mirror_session *session : {&m_configuration, &m_targets, &m_members}) {
        const std::string start = mirrorPath + session->follower().mirror().prefix() + "?after=";
        if (!path.starts_with(start))
            continue;
        std::int64_t revision = 0;
        std::from_chars(path.data() + start.size(), path.data() + path.size(), revision);
        std::string copy = session->copyAfter(revision);
        const int status = copy.empty() ? statusNoContent : statusOk;
        return {.status = status, .body = std::move(copy)};
    }
    return {.status = statusNotFound, .body = {}};
}

std::string edge_process::metricsText()
{
    m_metrics.set("open_connections", "Connections from callers.",
                  static_cast<std::int64_t>(m_connections.size()));
    m_metrics.set("target_connections_opened", "Connections to targets since the start.",
                  m_pool.opened());
    m_metrics.set("digests_sent", "Datagrams to other routers since the start.", m_peers.sent());
    m_metrics.set("digests_received", "Datagrams from other routers since the start.",
                  m_peers.received());
    m_metrics.set("routers", "Routers that share the fleet's limits.",
                  static_cast<std::int64_t>(m_node.routers().members.size()));
    m_metrics.set("configuration_version", "The version of the configuration in force.",
                  m_node.routes() ? m_node.routes()->version() : 0);
    m_metrics.set("held_bytes", "Bytes of requests held in memory.",
                  static_cast<std::int64_t>(m_context.heldBytes));
    m_metrics.set("log_lines_dropped", "Log lines left out since the start.",
                  static_cast<std::int64_t>(m_log.dropped()));
    return m_metrics.text();
}

} // namespace quetzal
