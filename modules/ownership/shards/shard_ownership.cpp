#include "ownership/shards/shard_ownership.h"

#include <algorithm>
#include <utility>

namespace quetzal {

int coldShare(ownership_certainty certainty, int coldLimit)
{
    switch (certainty) {
    case ownership_certainty::Certain:
        return coldLimit;
    case ownership_certainty::Uncertain:
        return coldLimit / 2;
    case ownership_certainty::Succeeding:
        return coldLimit - coldLimit / 2;
    case ownership_certainty::SucceedingUncertain:
        return 0;
    }
    return 0;
}

shard_ownership::shard_ownership(shard_ownership_options options)
    : m_options(std::move(options))
    , m_lease({.lifetime = m_options.leaseLifetime,
               .renewalInterval = m_options.renewalInterval,
               .idleRenewalInterval = m_options.idleRenewalInterval,
               .requestTimeout = m_options.requestTimeout,
               .clockMargin = m_options.clockMargin})
    , m_peers(m_options.peerTimeout)
    , m_view(m_options.keyPrefix)
{
}

void shard_ownership::setMembers(const std::vector<scheduler_member> &members)
{
    m_peerVms.clear();
    for (const scheduler_member &member : members) {
        if (member.vm != m_options.vm)
            m_peerVms.push_back(member.vm);
    }
}

void shard_ownership::setShards(std::vector<shard_definition> shards)
{
    m_shards = std::move(shards);
}

void shard_ownership::onStoreView(const store_view &view, absl::Time now)
{
    if (!m_view.update(view))
        return;
    updateRegistration();
    for (const auto &[shard, stored] : m_view.shards()) {
        updateKnownOwner(shard,
                         {.vm = stored.record.vm,
                          .incarnation = stored.record.incarnation,
                          .epoch = stored.record.epoch});
    }
    dropLostShards();
    updateFormerOwners(now);
}

void shard_ownership::onStoreReply(const store_reply &reply, absl::Time now)
{
    const bool answered = reply.outcome != store_outcome::Unknown;
    if (m_lease.onReply(reply, now)) {
        if (answered)
            noteStoreAnswer(now);
        return;
    }
    const auto found = m_pending.find(reply.requestId);
    if (found == m_pending.end())
        return;
    const pending_transaction pending = std::move(found->second);
    m_pending.erase(found);
    if (answered)
        noteStoreAnswer(now);
    const bool late = now >= pending.sentAt + m_options.requestTimeout;
    if (reply.outcome == store_outcome::Done && !late)
        return onTransactionDone(pending, reply.revision, now);
    if (pending.shard.empty())
        m_registrationRetryAt = now + m_options.requestTimeout;
    else
        m_free[pending.shard].retryAt = now + m_options.requestTimeout;
}

void shard_ownership::onPeerHeartbeat(const peer_heartbeat &heartbeat, absl::Time now)
{
    m_peers.observePeer(heartbeat.vm,
                        {.incarnation = heartbeat.incarnation,
                         .lastSeenAt = now,
                         .storeReachable = heartbeat.storeReachable,
                         .stopping = heartbeat.stopping});
    for (const shard_claim &claim : heartbeat.claims) {
        updateKnownOwner(claim.shard, claim.owner);
        recordAcknowledgement(heartbeat, claim, now);
    }
}

void shard_ownership::onPeerAlive(const std::string &vm, absl::Time now)
{
    m_peers.observePeer(vm, now);
}

void shard_ownership::onPeerOwns(const std::string &shard, const recorded_owner &owner,
                                 absl::Time /*now*/)
{
    updateKnownOwner(shard, owner);
}

void shard_ownership::onRelayedRenewal(absl::Time sentAt, absl::Time /*now*/)
{
    m_lease.onRelayedRenewal(sentAt);
}

void shard_ownership::onRelayedRenewalRejected(std::int64_t lease)
{
    if (lease == m_lease.lease())
        m_lease.drop();
}

void shard_ownership::beginStop(absl::Time now)
{
    m_stoppingSince = std::min(m_stoppingSince, now);
}

std::vector<store_request> shard_ownership::advance(absl::Time now)
{
    m_startedAt = std::min(m_startedAt, now);
    if (m_advancedAt == absl::InfiniteFuture() || now - m_advancedAt > m_options.pauseTolerance)
        m_resumedAt = now;
    m_advancedAt = now;
    expirePending(now);
    updateFormerOwners(now);

    std::vector<store_request> requests;
    if (m_superseded || m_revoked)
        return requests;
    addLeaseRequest(requests, now);
    addRegistration(requests, now);
    addAcquisitions(requests, now);
    addHandovers(requests, now);
    addRevocation(requests);
    return requests;
}

bool shard_ownership::shouldRequestRelayedRenewal(absl::Time now) const
{
    const absl::Duration interval
        = m_held.empty() ? m_options.idleRenewalInterval : m_options.renewalInterval;
    const absl::Duration relayThreshold = interval + m_options.heartbeatDelay / 2;
    return m_lease.lease() != 0 && now > m_lease.confirmedAt() + relayThreshold
        && m_peers.anyWithStore(m_peerVms, now);
}

std::vector<owned_shard> shard_ownership::ownedShards(absl::Time now) const
{
    std::vector<owned_shard> owned;
    if (!holdsLease(now) && !hasCurrentPeerStates(now))
        return owned;
    for (const shard_definition &definition : m_shards) {
        const auto held = m_held.find(definition.shard);
        if (held == m_held.end())
            continue;
        owned.push_back({.shard = definition.shard,
                         .epoch = held->second.epoch,
                         .certainty = certainty(held->second, now),
                         .since = held->second.since});
    }
    return owned;
}

std::vector<shard_claim> shard_ownership::claimsFor(const std::string &peer,
                                                    absl::Time /*now*/) const
{
    std::vector<shard_claim> claims;
    for (const auto &[shard, held] : m_held) {
        claims.push_back(
            {.shard = shard,
             .owner
             = {.vm = m_options.vm, .incarnation = m_options.incarnation, .epoch = held.epoch}});
    }
    for (const auto &[shard, owner] : m_knownOwners) {
        if (owner.vm == peer && wasOwner(shard))
            claims.push_back({.shard = shard, .owner = owner});
    }
    return claims;
}

bool shard_ownership::isConnected(absl::Time now) const
{
    if (isStoreReachable(now))
        return true;
    const auto members = static_cast<int>(m_peerVms.size()) + 1;
    const int alive = m_peers.countAlive(m_peerVms, now) + 1;
    return 2 * alive > members && !m_peerVms.empty();
}

bool shard_ownership::isStoreReachable(absl::Time now) const
{
    return now - m_storeAnsweredAt <= m_options.storeTimeout;
}

bool shard_ownership::isStopped() const
{
    return m_stoppingSince != absl::InfiniteFuture() && m_held.empty() && m_pending.empty();
}

} // namespace quetzal
