#include "scheduling/node/scheduler_node.h"

#include "foundation/hashing/stable_hash.h"
#include "scheduling/node/ledger_messages.h"
#include "scheduling/shard/shard_layout.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzal {

namespace {

/** Set in the request ids of renewals on behalf of peers. */
constexpr std::uint64_t relayBit = 1ULL << 63;
/** Interval between two requests to peers to renew the lease. */
constexpr absl::Duration renewalRequestInterval = absl::Milliseconds(500);
/** A renewal that a peer has not answered after this long is discarded. */
constexpr absl::Duration relayTimeout = absl::Seconds(5);

} // namespace

scheduler_node::scheduler_node(scheduler_node_options options)
    : m_options(std::move(options))
    , m_follower({.keyPrefix = m_options.keyPrefix})
    , m_ownership({.vm = m_options.vm,
                   .dataCentre = m_options.dataCentre,
                   .incarnation = m_options.incarnation,
                   .keyPrefix = m_options.keyPrefix})
    , m_ledgerHome(m_options.incarnation)
    , m_homes(m_options.vm, m_options.homeTimeout)
{
}

void scheduler_node::setVmList(const std::vector<scheduler_member> &members,
                               const std::vector<target_listing> &targets, absl::Time now)
{
    m_members = members;
    m_targets = targets;
    m_ownership.setMembers(m_members);
    updateTargets(now);
    updateHomes(now);
}

void scheduler_node::onLoad(const std::string &target, const target_load &load, absl::Time now)
{
    for (auto &[name, shard] : m_shards)
        shard.onLoad(target, load, now);
}

void scheduler_node::onStoreView(const store_view &view, absl::Time now)
{
    m_ownership.onStoreView(view, now);
    if (m_follower.onStoreView(view) == adoption_result::Adopted)
        onNewConfiguration(now);
}

void scheduler_node::onStoreReply(const store_reply &reply, absl::Time now)
{
    const auto relayed = m_relayedRenewals.find(reply.requestId);
    if (relayed == m_relayedRenewals.end())
        return m_ownership.onStoreReply(reply, now);
    protocol::renewal_reply answer;
    answer.requestId = relayed->second.peerRequestId;
    answer.renewed = reply.outcome == store_outcome::Done;
    answer.refused = reply.outcome == store_outcome::Refused;
    send(node_role::Scheduler, relayed->second.peer, answer);
    m_relayedRenewals.erase(relayed);
}

void scheduler_node::onMessage(const node_id &from, const message &content, absl::Time now)
{
    if (const auto *report = std::get_if<protocol::router_report>(&content))
        onReport(from, *report, now);
    else if (const auto *heartbeat = std::get_if<protocol::heartbeat>(&content))
        onHeartbeat(*heartbeat, now);
    else if (const auto *delta = std::get_if<protocol::ledger_delta>(&content))
        onLedgerDelta(from, *delta);
    else if (const auto *totals = std::get_if<protocol::ledger_totals>(&content))
        onLedgerTotals(from, *totals);
    else if (const auto *configurationRequest
             = std::get_if<protocol::configuration_request>(&content))
        onConfigurationRequest(from, *configurationRequest);
    else if (const auto *update = std::get_if<protocol::configuration_update>(&content)) {
        if (m_follower.onDocument(update->revision, update->digest, update->document)
            == adoption_result::Adopted)
            onNewConfiguration(now);
    } else if (const auto *renewal = std::get_if<protocol::renewal_request>(&content))
        onRenewalRequest(from, *renewal);
    else if (const auto *renewed = std::get_if<protocol::renewal_reply>(&content))
        onRenewalReply(*renewed, now);
}

void scheduler_node::beginStop(absl::Time now)
{
    m_stopping = true;
    m_ownership.beginStop(now);
}

void scheduler_node::advance(absl::Time now)
{
    for (store_request &request : m_ownership.advance(now))
        m_actions.emplace_back(std::move(request));
    reconcileShards(now);
    for (auto &[name, shard] : m_shards)
        shard.advance(now);
    grantAll(now);
    sendHeartbeats(now);
    sendFleetViews(now);
    exchangeLedger(now);
    requestRenewalFromPeer(now);
}

std::vector<scheduler_action> scheduler_node::takeActions()
{
    return std::exchange(m_actions, {});
}

bool scheduler_node::isStopped() const
{
    return m_stopping && m_ownership.isStopped();
}

std::vector<target_listing> scheduler_node::polledTargets() const
{
    std::vector<target_listing> polled;
    const auto current = m_follower.current();
    if (!current)
        return polled;
    for (const target_listing &target : m_targets) {
        if (m_shards.contains(shardOf(target, current->document)))
            polled.push_back(target);
    }
    return polled;
}

scheduler_status scheduler_node::status(absl::Time now) const
{
    scheduler_status result {.vm = m_options.vm,
                             .incarnation = m_options.incarnation,
                             .configurationRevision = m_follower.revision(),
                             .connected = m_ownership.isConnected(now),
                             .storeReachable = m_ownership.isStoreReachable(now),
                             .stopping = m_stopping};
    for (const auto &[vm, router] : m_routers) {
        if (now - router.lastReport <= m_options.routerTimeout)
            result.routerRevisions[vm] = router.revision;
    }
    for (const auto &[name, certainty] : m_certainties) {
        const shard_scheduler &shard = m_shards.at(name);
        result.owned.push_back({.shard = name,
                                .service = shard.options().service.name,
                                .dataCentre = shard.options().dataCentre,
                                .epoch = shard.options().epoch,
                                .certainty = certainty,
                                .targets = shard.targetStatus(now),
                                .workspaces = shard.workspaceStatus()});
    }
    return result;
}

void scheduler_node::onReport(const node_id &from, const protocol::router_report &report,
                              absl::Time now)
{
    router_state &router = m_routers[from.vm];
    router.lastReport = now;
    router.wantsView = report.wantsView;
    router.revision = report.configurationRevision;
    router.sequence = report.sequence;
    for (auto &[name, shard] : m_shards)
        shard.onReport(report, now);
    protocol::grant_batch acknowledgement;
    acknowledgement.scheduler = m_options.vm;
    acknowledgement.acknowledgedSequence = report.sequence;
    const bool carriesOutcome
        = std::any_of(report.usages.begin(), report.usages.end(),
                      [](const auto &usage) { return !usage.outcomes.empty(); });
    if (carriesOutcome)
        send(node_role::Router, from.vm, std::move(acknowledgement));
}

void scheduler_node::onHeartbeat(const protocol::heartbeat &heartbeat, absl::Time now)
{
    peer_heartbeat peer {.vm = heartbeat.vm,
                         .incarnation = heartbeat.incarnation,
                         .storeReachable = heartbeat.storeReachable,
                         .stopping = heartbeat.stopping,
                         .claims = {}};
    for (const protocol::ownership_claim &claim : heartbeat.claims)
        peer.claims.push_back(
            {.shard = claim.shard,
             .owner = {.vm = claim.vm, .incarnation = claim.incarnation, .epoch = claim.epoch}});
    m_ownership.onPeerHeartbeat(peer, now);
    m_homes.recordHeartbeat(heartbeat.vm, now);
    for (auto &[name, shard] : m_shards)
        shard.onHomeIncarnation(heartbeat.vm, heartbeat.incarnation);
    if (heartbeat.configurationRevision <= m_follower.revision())
        return;
    protocol::configuration_request configurationRequest;
    configurationRequest.haveRevision = m_follower.revision();
    send(node_role::Scheduler, heartbeat.vm, configurationRequest);
}

void scheduler_node::onLedgerDelta(const node_id &from, const protocol::ledger_delta &delta)
{
    protocol::ledger_totals totals = toMessage(m_ledgerHome.onChange(fromMessage(delta)));
    totals.home = m_options.vm;
    send(node_role::Scheduler, from.vm, std::move(totals));
}

void scheduler_node::onLedgerTotals(const node_id &from, const protocol::ledger_totals &totals)
{
    const ledger_answer answer = fromMessage(totals);
    const std::optional<ledger_writer_name> writer = parseLedgerWriterName(answer.writer);
    if (!writer)
        return;
    const auto shard = m_shards.find(writer->shard);
    if (shard != m_shards.end() && shard->second.options().epoch == writer->epoch)
        shard->second.onLedgerAnswer(from.vm, answer);
}

void scheduler_node::onConfigurationRequest(
    const node_id &from, const protocol::configuration_request &configurationRequest)
{
    const auto current = m_follower.current();
    if (!current || current->revision <= configurationRequest.haveRevision)
        return;
    protocol::configuration_update update;
    update.revision = current->revision;
    update.digest = current->digest;
    update.document = current->text;
    send(from.role, from.vm, std::move(update));
}

void scheduler_node::onRenewalRequest(const node_id &from, const protocol::renewal_request &request)
{
    const std::uint64_t requestId = relayBit | ++m_renewalSequence;
    m_relayedRenewals[requestId] = {.peer = from.vm, .peerRequestId = request.requestId};
    m_actions.emplace_back(
        store_request {lease_renewal {.requestId = requestId, .lease = request.lease}});
}

void scheduler_node::onRenewalReply(const protocol::renewal_reply &reply, absl::Time now)
{
    const auto pending = m_pendingRenewals.find(reply.requestId);
    if (pending == m_pendingRenewals.end())
        return;
    if (reply.renewed)
        m_ownership.onRelayedRenewal(pending->second.sentAt, now);
    if (reply.refused)
        m_ownership.onRelayedRenewalRejected(pending->second.lease);
    m_pendingRenewals.erase(pending);
}

void scheduler_node::onNewConfiguration(absl::Time now)
{
    for (auto &[name, shard] : m_shards)
        shard.setConfiguration(m_follower.current()->document);
    updateTargets(now);
    for (auto &[vm, router] : m_routers)
        router.viewSentAt = absl::InfinitePast();
    m_lastHeartbeat = absl::InfinitePast();
}

void scheduler_node::reconcileShards(absl::Time now)
{
    const auto current = m_follower.current();
    if (!current)
        return;
    m_certainties.clear();
    for (const owned_shard &item : m_ownership.ownedShards(now)) {
        const auto definition
            = std::find_if(m_definitions.begin(), m_definitions.end(),
                           [&item](const auto &known) { return known.shard == item.shard; });
        if (definition == m_definitions.end())
            continue;
        m_certainties[item.shard] = item.certainty;
        const auto existing = m_shards.find(item.shard);
        if (existing == m_shards.end() || existing->second.options().epoch != item.epoch)
            openShard(item, *definition, now);
    }
    std::erase_if(m_shards, [this](const auto &item) {
        return !m_certainties.contains(item.first) && !isOwnEpoch(item.second.options());
    });
}

void scheduler_node::openShard(const owned_shard &owned, const shard_definition &definition,
                               absl::Time now)
{
    const configuration_document &document = m_follower.current()->document;
    m_shards.erase(owned.shard);
    m_shards.emplace(owned.shard,
                     shard_scheduler({.shard = owned.shard,
                                      .dataCentre = definition.dataCentre,
                                      .epoch = owned.epoch,
                                      .service = *document.findService(definition.service),
                                      .since = owned.since,
                                      .lastTicket = absl::ToUnixMicros(now)},
                                     document));
    updateTargets(now);
}

bool scheduler_node::isOwnEpoch(const shard_scheduler_options &shard) const
{
    const auto known = m_ownership.knownOwners().find(shard.shard);
    return known != m_ownership.knownOwners().end() && known->second.vm == m_options.vm
        && known->second.incarnation == m_options.incarnation && known->second.epoch == shard.epoch;
}

void scheduler_node::updateTargets(absl::Time now)
{
    const auto current = m_follower.current();
    if (!current)
        return;
    auto byShard = groupByShard(m_targets, current->document);
    m_definitions.clear();
    for (const auto &[shard, targets] : byShard)
        m_definitions.push_back(defineShard(shard, targets));
    m_ownership.setShards(m_definitions);

    std::set<std::string> routers;
    for (const scheduler_member &member : m_members)
        routers.insert(member.vm);
    std::map<std::string, std::vector<std::string>> shardsByService;
    for (const shard_definition &definition : m_definitions) {
        const bool spansDataCentres = definition.dataCentre.empty();
        if (spansDataCentres || current->document.isDataCentreIn(definition.dataCentre))
            shardsByService[definition.service].push_back(definition.shard);
    }
    for (auto &[name, shard] : m_shards) {
        shard.setServiceShards(shardsByService[shard.options().service.name]);
        shard.setTargets(byShard[name], now);
        shard.setRouters(routers);
    }
}

void scheduler_node::grantAll(absl::Time now)
{
    std::map<std::string, protocol::grant_batch> batches;
    for (auto &[name, shard] : m_shards) {
        const auto certainty = m_certainties.find(name);
        if (certainty == m_certainties.end())
            continue;
        for (addressed_grant &item : shard.grant(certainty->second, now))
            batches[item.router].grants.push_back(std::move(item.content));
        for (addressed_revocation &item : shard.revoke(now))
            batches[item.router].revocations.push_back(std::move(item.content));
    }
    for (auto &[router, batch] : batches) {
        batch.scheduler = m_options.vm;
        batch.acknowledgedSequence = m_routers[router].sequence;
        send(node_role::Router, router, std::move(batch));
    }
}

void scheduler_node::sendHeartbeats(absl::Time now)
{
    if (now - m_lastHeartbeat < m_options.heartbeatInterval)
        return;
    m_lastHeartbeat = now;
    m_ledgerHome.advance(now);
    protocol::heartbeat heartbeat;
    heartbeat.vm = m_options.vm;
    heartbeat.incarnation = m_options.incarnation;
    heartbeat.sequence = ++m_heartbeatSequence;
    heartbeat.configurationRevision = m_follower.revision();
    heartbeat.storeReachable = m_ownership.isStoreReachable(now);
    heartbeat.stopping = m_stopping;
    for (const scheduler_member &member : m_members) {
        if (member.vm == m_options.vm)
            continue;
        heartbeat.claims.clear();
        for (const shard_claim &claim : m_ownership.claimsFor(member.vm, now)) {
            protocol::ownership_claim item;
            item.shard = claim.shard;
            item.vm = claim.owner.vm;
            item.incarnation = claim.owner.incarnation;
            item.epoch = claim.owner.epoch;
            heartbeat.claims.push_back(std::move(item));
        }
        send(node_role::Scheduler, member.vm, heartbeat);
    }
}

void scheduler_node::sendFleetViews(absl::Time now)
{
    const std::vector<protocol::shard_owner> owners = knownOwners();
    std::string text;
    for (const protocol::shard_owner &owner : owners)
        text += owner.shard + "=" + owner.owner + "#" + std::to_string(owner.epoch) + ";";
    const std::size_t fingerprint = stableHash(text);

    for (auto &[vm, router] : m_routers) {
        const bool changed = router.sentOwnersFingerprint != fingerprint;
        const bool due = changed || now - router.viewSentAt >= m_options.fleetViewInterval;
        if (!due || !router.wantsView || now - router.lastReport > m_options.routerTimeout)
            continue;
        protocol::fleet_view view;
        view.scheduler = m_options.vm;
        view.configurationRevision = m_follower.revision();
        view.connected = m_ownership.isConnected(now);
        if (changed || now - router.ownersSentAt >= m_options.ownersResendInterval) {
            view.owners = owners;
            router.sentOwnersFingerprint = fingerprint;
            router.ownersSentAt = now;
        }
        router.viewSentAt = now;
        send(node_role::Router, vm, std::move(view));
    }
    std::erase_if(m_routers, [&](const auto &item) {
        return now - item.second.lastReport > m_options.routerTimeout;
    });
}

void scheduler_node::exchangeLedger(absl::Time now)
{
    updateHomes(now);
    const auto home = [this](const std::string &workspace) {
        return m_homes.homeOf(workspace);
    };
    for (auto &[name, shard] : m_shards) {
        const bool answered = shard.options().service.unit == service_unit::AnsweredRequests;
        const absl::Duration interval
            = answered ? m_options.answeredLedgerInterval : m_options.ledgerInterval;
        absl::Time &last
            = m_lastLedgerExchange.try_emplace(name, absl::InfinitePast()).first->second;
        if (now - last < interval)
            continue;
        last = now;
        for (const auto &[vm, change] : shard.collectLedger(home)) {
            if (vm == m_options.vm)
                shard.onLedgerAnswer(vm, m_ledgerHome.onChange(change));
            else
                send(node_role::Scheduler, vm, toMessage(change));
        }
    }
}

void scheduler_node::requestRenewalFromPeer(absl::Time now)
{
    std::erase_if(m_pendingRenewals,
                  [now](const auto &item) { return now - item.second.sentAt > relayTimeout; });
    if (!m_ownership.shouldRequestRelayedRenewal(now)
        || now - m_lastRenewalRequestAt < renewalRequestInterval || m_members.size() < 2)
        return;
    m_lastRenewalRequestAt = now;
    m_renewalPeerIndex = (m_renewalPeerIndex + 1) % m_members.size();
    if (m_members[m_renewalPeerIndex].vm == m_options.vm)
        m_renewalPeerIndex = (m_renewalPeerIndex + 1) % m_members.size();
    protocol::renewal_request request;
    request.vm = m_options.vm;
    request.lease = m_ownership.lease();
    request.requestId = static_cast<std::int64_t>(++m_renewalSequence);
    m_pendingRenewals[request.requestId] = {.sentAt = now, .lease = request.lease};
    send(node_role::Scheduler, m_members[m_renewalPeerIndex].vm, request);
}

std::vector<protocol::shard_owner> scheduler_node::knownOwners() const
{
    std::vector<protocol::shard_owner> owners;
    for (const shard_definition &definition : m_definitions) {
        const auto known = m_ownership.knownOwners().find(definition.shard);
        if (known == m_ownership.knownOwners().end())
            continue;
        protocol::shard_owner owner;
        owner.shard = definition.shard;
        owner.serviceName = definition.service;
        owner.dataCentre = definition.dataCentre;
        owner.owner = known->second.vm;
        owner.epoch = known->second.epoch;
        owners.push_back(std::move(owner));
    }
    return owners;
}

void scheduler_node::updateHomes(absl::Time now)
{
    if (!m_homes.update(m_members, now))
        return;
    m_ledgerHome.retain(
        [this](const std::string &workspace) { return m_homes.homeOf(workspace) == m_options.vm; });
    for (auto &[name, shard] : m_shards)
        shard.onHomesChanged();
}

void scheduler_node::send(node_role role, const std::string &vm, message content)
{
    m_actions.emplace_back(outgoing_message {{role, vm}, std::move(content)});
}

} // namespace quetzal
