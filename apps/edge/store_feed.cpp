#include "apps/edge/store_feed.h"

#include "apps/edge/edge_clock.h"
#include "directory/mirror/store_revision.h"
#include "directory/target/ipv4_address.h"
#include "platform/platform.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <string_view>
#include <utility>

namespace quetzal {

namespace {

/** Prefix of all records that the routers write, and of those of the routers themselves. */
constexpr char ownRecordPrefix[] = "quetzalreach/";
constexpr char memberPrefix[] = "quetzalreach/members/";
/**
 * The positions of the prefixes in digests and updates. Position 2 is that of memberPrefix, which
 * earlier versions mirror in place of ownRecordPrefix.
 */
constexpr std::size_t configurationPosition = 0;
constexpr std::size_t targetPosition = 1;
constexpr std::size_t ownRecordPosition = 3;
constexpr std::size_t positionCount = 4;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr absl::Duration writeTimeout = absl::Seconds(1);
constexpr absl::Duration writeRetryDelay = absl::Seconds(1);
/** How long after it was written this router's record is in its own replica at the latest. */
constexpr absl::Duration recordVisibleTime = absl::Seconds(3);
/** Records of targets expire only in an outage that is longer than two of their heartbeats. */
constexpr double maxAgeInHeartbeats = 1.75;

} // namespace

store_feed::store_feed(edge_context &context, peer_exchange &peers, store_feed_options options)
    : m_context(context)
    , m_peers(peers)
    , m_options(std::move(options))
    , m_configuration(context.loop, context.log, m_options.store,
                      followerOptions(platform::operatorPrefix, configurationPosition),
                      configurationCallbacks())
    , m_targets(context.loop, context.log, m_options.store,
                followerOptions(platform::targetPrefix, targetPosition), targetCallbacks())
    , m_ownRecords(context.loop, context.log, m_options.store,
                   followerOptions(ownRecordPrefix, ownRecordPosition), ownRecordCallbacks())
    , m_partRecords(context.node, context.log)
    , m_copyLimiter(m_options.linkMbps)
    , m_writer(std::make_shared<http_client>(context.loop, m_options.store))
{
}

follower_options store_feed::followerOptions(std::string prefix, std::size_t position) const
{
    const absl::Duration maxAge
        = std::min(follower_options {}.maxAge, m_options.targetHeartbeat * maxAgeInHeartbeats);
    return {.prefix = std::move(prefix),
            .position = position,
            .self = m_options.vm,
            .startedAt = edgeNow(),
            .listsAtOnce = position == ownRecordPosition,
            .maxAge = maxAge};
}

mirror_callbacks store_feed::commonCallbacks()
{
    return {.hasPeers = [this] { return m_peers.hasPeers(); },
            .peerAt = [this](const std::string &host) { return m_peers.peerAt(host, edgeNow()); },
            .sendUpdate =
                [this](const mirror_update &update) {
                    m_peers.sendUpdate(update);
                }};
}

mirror_callbacks store_feed::configurationCallbacks()
{
    mirror_callbacks callbacks = commonCallbacks();
    callbacks.onChanges = [this](const auto &changes, bool) {
        onConfiguration(changes);
    };
    return callbacks;
}

mirror_callbacks store_feed::targetCallbacks()
{
    mirror_callbacks callbacks = commonCallbacks();
    callbacks.onChanges = [this](const auto &changes, bool first) {
        onTargets(changes, first);
    };
    callbacks.onCurrentChanged = [this](bool isCurrent) {
        onTargetsCurrentChanged(isCurrent);
    };
    return callbacks;
}

mirror_callbacks store_feed::ownRecordCallbacks()
{
    mirror_callbacks callbacks = commonCallbacks();
    callbacks.onChanges = [this](const auto &changes, bool) {
        onOwnRecords(changes);
    };
    callbacks.onCurrentChanged = [this](bool isCurrent) {
        onOwnRecordsCurrentChanged(isCurrent);
    };
    return callbacks;
}

void store_feed::start()
{
    m_peers.setLastChanges([this] {
        std::vector<std::int64_t> revisions(positionCount, 0);
        for (const mirror_session *session : sessions()) {
            const mirror_follower &follower = session->follower();
            revisions[follower.position()] = follower.mirror().lastChangeRevision();
        }
        return revisions;
    });
    m_peers.setUpdateCallback(
        [this](const mirror_update &update, const std::string &host) { onUpdate(update, host); });
    for (mirror_session *session : sessions())
        session->start();
}

void store_feed::onUpdate(const mirror_update &update, const std::string &host)
{
    for (mirror_session *session : sessions()) {
        if (session->follower().position() == update.prefix)
            session->onUpdate(update, host, edgeNow());
    }
}

bool store_feed::isComplete() const
{
    return m_context.node.routes() && m_targets.follower().mirror().isComplete()
        && m_areRoutersKnown;
}

void store_feed::onConfiguration(const std::vector<key_change> &changes)
{
    bool evacuationChanged = false;
    for (const key_change &change : changes) {
        if (change.key == platform::configurationKey && change.value) {
            auto options = platform::readConfiguration(*change.value);
            if (!options) {
                m_context.log.line("configuration_unreadable").number("revision", change.revision);
                continue;
            }
            const std::int64_t version = options->version;
            const bool isActivated = m_context.node.setRoutes(
                std::make_shared<const route_table>(std::move(*options)));
            m_context.log.line("configuration")
                .number("version", version)
                .number("revision", change.revision)
                .flag("inForce", isActivated);
        }
        evacuationChanged = evacuationChanged || !platform::evacuatedDataCentre(change.key).empty();
    }
    if (!evacuationChanged)
        return;
    const prefix_mirror &mirror = m_configuration.follower().mirror();
    absl::flat_hash_set<std::string> listed;
    for (const stored_item &item : mirror.items()) {
        const std::string name = platform::evacuatedDataCentre(item.key);
        if (!name.empty())
            listed.insert(name);
    }
    m_evacuations.apply(listed, mirror.revision(), edgeNow());
    updateEvacuations(edgeNow());
}

void store_feed::updateEvacuations(absl::Time now)
{
    absl::flat_hash_set<std::string> evacuated = m_evacuations.current(now);
    if (evacuated == m_evacuated)
        return;
    m_context.log.line("evacuation")
        .number("dataCentres", static_cast<std::int64_t>(evacuated.size()));
    m_context.node.setEvacuated(evacuated, now);
    m_evacuated = std::move(evacuated);
}

void store_feed::onTargets(const std::vector<key_change> &changes, bool first)
{
    const absl::Time now = edgeNow();
    if (first)
        m_context.log.line("targets_listed").number("count", std::ssize(changes));
    const std::int64_t era = eraOf(m_targets.follower().mirror().revision());
    if (era != std::exchange(m_targetEra, era) && !first) {
        m_context.log.line("targets_restored").number("era", era);
        m_context.node.directory().onListRestored(now);
    }
    for (const key_change &change : changes) {
        const std::string id = platform::targetIdOf(change.key);
        const auto record
            = change.value ? platform::readTarget(change.key, *change.value) : std::nullopt;
        if (!first || !record)
            logTarget(change, record);
        if (record)
            m_context.node.applyTarget(*record, first, now);
        else if (change.value)
            m_context.node.dropTarget(id);
        else
            m_context.node.removeTarget(id, now);
        if (!record || record->isDraining)
            m_context.pool.closeIdle(id);
    }
}

void store_feed::logTarget(const key_change &change, const std::optional<target_record> &record)
{
    auto line = m_context.log.line(record ? "target" : "target_removed");
    line.text("target", platform::targetIdOf(change.key)).number("revision", change.revision);
    if (!record) {
        line.flag("unreadable", change.value.has_value());
        return;
    }
    line.text("service", record->service)
        .text("dataCentre", record->dataCentre)
        .flag("leaving", record->isDraining)
        .number("coldMs", absl::ToInt64Milliseconds(record->coldDuration))
        .number("startedAtMs", record->startedAtMs);
}

void store_feed::onTargetsCurrentChanged(bool isCurrent)
{
    if (isCurrent)
        m_context.node.directory().onListAvailable(edgeNow());
    else
        m_context.node.directory().onListUnavailable(edgeNow());
}

void store_feed::onOwnRecords(const std::vector<key_change> &changes)
{
    m_partRecords.onChanges(changes, edgeNow());
    const bool haveMembersChanged
        = std::any_of(changes.begin(), changes.end(), [](const key_change &change) {
              return change.key.starts_with(memberPrefix);
          });
    if (haveMembersChanged)
        onMembers();
}

void store_feed::onMembers()
{
    const absl::Time now = edgeNow();
    const std::string_view prefix = memberPrefix;
    std::vector<member> records;
    for (const stored_item &item : m_ownRecords.follower().mirror().items()) {
        if (!item.key.starts_with(prefix))
            continue;
        std::string vm = item.key.substr(prefix.size());
        if (!isIpv4HostAddress(item.value)) {
            m_context.log.line("router_unreadable")
                .text("router", vm)
                .number("revision", item.revision);
            continue;
        }
        records.push_back({.vm = std::move(vm), .host = item.value, .revision = item.revision});
    }
    m_memberTable.apply(records, m_ownRecords.follower().mirror().revision(), now);
    updateRouters(now);
}

void store_feed::onOwnRecordsCurrentChanged(bool isCurrent)
{
    if (!isCurrent)
        return;
    m_memberTable.onRecordsReadable(edgeNow());
    // An empty list, as at the first start of the fleet, is no change.
    onMembers();
}

void store_feed::updateRouters(absl::Time now)
{
    router_group group {.self = m_options.vm, .members = {m_options.vm}};
    std::vector<std::string> hosts;
    for (const member &entry : m_memberTable.current(now)) {
        if (entry.vm == m_options.vm)
            continue;
        group.members.push_back(entry.vm);
        hosts.push_back(entry.host);
    }
    const bool isFirst = !std::exchange(m_areRoutersKnown, true);
    if (!isFirst && group == m_context.node.routers() && hosts == m_peerHosts)
        return;
    m_peerHosts = hosts;
    m_context.log.line("routers").number("count", static_cast<std::int64_t>(group.members.size()));
    m_peers.setPeers(std::move(hosts));
    for (mirror_session *session : sessions()) {
        session->setRouters(group.members);
        session->update(now);
    }
    m_context.node.setRouters(std::move(group));
}

void store_feed::writeMetrics(edge_metrics &metrics, absl::Time now) const
{
    for (const mirror_session *session : sessions()) {
        const mirror_follower &follower = session->follower();
        const absl::Duration age = now - std::max(follower.confirmedAt(), absl::UnixEpoch());
        const auto &missed = follower.missed();
        metrics.setReplica({.prefix = follower.mirror().prefix(),
                            .revision = follower.mirror().revision(),
                            .missedRevision = missed ? missed->revision() : 0,
                            .age = age});
    }
}

void store_feed::maintain(absl::Time now)
{
    const fleet_view &fleet = m_context.node.fleet();
    for (mirror_session *session : sessions()) {
        const std::size_t position = session->follower().position();
        session->onPeerRevision(fleet.lastChangeRevision(position, now), now);
        session->update(now);
    }
    m_context.node.directory().onListConfirmed(m_targets.follower().confirmedAt());
    updateEvacuations(now);
    maintainRecords(now);
}

void store_feed::maintainRecords(absl::Time now)
{
    if (m_isWriting || !m_ownRecords.follower().isCurrent(now))
        return;
    updateRouters(now);
    if (now < m_writeAllowedAt)
        return;
    const absl::Duration recordAge = now - m_recordRenewedAt;
    const bool isRecordLost
        = recordAge >= recordVisibleTime && !m_memberTable.isStored(m_options.vm);
    if (isRecordLost || recordAge >= member_table::renewalInterval) {
        write(platform::writeCall(memberPrefix + m_options.vm, m_options.host),
              [this, now] { m_recordRenewedAt = now; });
        return;
    }
    if (const auto call = m_partRecords.nextCall(now)) {
        write(*call, [] {});
        return;
    }
    const std::vector<member> expired = m_memberTable.expired(now);
    if (expired.empty() || !m_ownRecords.follower().isReader(now))
        return;
    m_context.log.line("router_forgotten").text("router", expired.front().vm);
    write(platform::removeCall(memberPrefix + expired.front().vm, expired.front().revision), [] {});
}

void store_feed::write(const platform::store_call &call, std::function<void()> onDone)
{
    m_isWriting = true;
    m_writer->call(
        {.method = call.method, .target = call.target, .body = call.body, .timeout = writeTimeout},
        [this, onDone = std::move(onDone)](const std::optional<http_result> &result) {
            m_isWriting = false;
            if (result && result->status == statusOk) {
                onDone();
                return;
            }
            m_writeAllowedAt = edgeNow() + writeRetryDelay;
            m_context.log.line("store_write_failed").number("status", result ? result->status : 0);
        });
}

status_page store_feed::mirrorPage(const std::string &path)
{
    for (const mirror_session *session : sessions()) {
        const std::string start = mirrorPath + session->follower().mirror().prefix() + "?after=";
        if (!path.starts_with(start))
            continue;
        std::int64_t revision = 0;
        std::from_chars(path.data() + start.size(), path.data() + path.size(), revision);
        if (m_copyLimiter.isFull())
            return {.status = statusUnavailable};
        std::string copy = session->encodedCopyAfter(revision);
        if (copy.empty())
            return {.status = statusNoContent};
        auto transfer = m_copyLimiter.tryBegin(copy.size());
        if (!transfer)
            return {.status = statusUnavailable};
        return {.status = statusOk, .body = std::move(copy), .transfer = std::move(transfer)};
    }
    return {.status = statusNotFound};
}

} // namespace quetzal
