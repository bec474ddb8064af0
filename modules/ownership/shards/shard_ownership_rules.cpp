#include "ownership/shards/shard_ownership.h"

#include <algorithm>
#include <utility>

namespace quetzal {

void shard_ownership::noteStoreAnswer(absl::Time now)
{
    if (!isStoreReachable(now))
        m_storeReachableSince = now;
    m_storeAnsweredAt = now;
}

void shard_ownership::updateKnownOwner(const std::string &shard, const recorded_owner &owner)
{
    std::int64_t &highest = m_epochs[shard];
    if (owner.epoch <= highest)
        return;
    highest = owner.epoch;
    if (owner.vm.empty())
        m_knownOwners.erase(shard);
    else
        m_knownOwners[shard] = owner;
    const auto held = m_held.find(shard);
    if (held != m_held.end() && owner.epoch > held->second.epoch)
        drop(shard);
}

std::int64_t shard_ownership::highestEpoch(const std::string &shard) const
{
    const auto known = m_epochs.find(shard);
    return known == m_epochs.end() ? 0 : known->second;
}

void shard_ownership::recordAcknowledgement(const peer_heartbeat &heartbeat,
                                            const shard_claim &claim, absl::Time now)
{
    const auto held = m_held.find(claim.shard);
    if (held == m_held.end() || claim.owner.vm != m_options.vm
        || claim.owner.epoch < held->second.epoch)
        return;
    for (former_owner_state &state : held->second.former) {
        const bool isSender
            = state.owner.vm == heartbeat.vm && state.owner.incarnation == heartbeat.incarnation;
        if (isSender)
            state.stoppedAt = std::min(state.stoppedAt, now);
    }
}

bool shard_ownership::wasOwner(const std::string &shard) const
{
    const former_owner self {.vm = m_options.vm, .incarnation = m_options.incarnation};
    const std::vector<former_owner> &former = m_view.shard(shard).record.former;
    return m_lostShards.contains(shard) || std::ranges::find(former, self) != former.end();
}

void shard_ownership::updateRegistration()
{
    const stored_record<member_record> &own = m_view.member(m_options.vm);
    if (own.modRevision != 0 && own.record.incarnation > m_options.incarnation) {
        m_superseded = true;
        m_held.clear();
        m_lease.drop();
        return;
    }
    if (m_view.revision() < m_memberRevision || m_lease.lease() == 0)
        return;
    const bool present = own.modRevision != 0 && own.lease == m_lease.lease()
        && own.record.incarnation == m_options.incarnation;
    if (present) {
        m_registeredLease = own.lease;
        m_memberRevision = own.modRevision;
        return;
    }
    if (isRegistered())
        m_lease.drop();
}

void shard_ownership::dropLostShards()
{
    std::vector<std::string> lost;
    for (const auto &[shard, held] : m_held) {
        const shard_record &record = m_view.shard(shard).record;
        const bool present = isOwnRecord(record) && record.epoch == held.epoch;
        if (m_view.revision() >= held.modRevision && !present)
            lost.push_back(shard);
    }
    for (const std::string &shard : lost)
        drop(shard);
}

void shard_ownership::drop(const std::string &shard)
{
    m_held.erase(shard);
    m_lostShards.insert(shard);
}

bool shard_ownership::isOwnRecord(const shard_record &record) const
{
    return record.vm == m_options.vm && record.incarnation == m_options.incarnation;
}

void shard_ownership::updateFormerOwners(absl::Time now)
{
    for (auto &[shard, held] : m_held) {
        for (former_owner_state &state : held.former)
            updateFormerOwner(state, now);
    }
}

void shard_ownership::updateFormerOwner(former_owner_state &state, absl::Time now) const
{
    const former_owner &owner = state.owner;
    const bool listed = m_peerVms.empty() || owner.vm == m_options.vm
        || std::ranges::find(m_peerVms, owner.vm) != m_peerVms.end();
    state.unlistedSince = listed ? absl::InfiniteFuture() : std::min(state.unlistedSince, now);
    const bool replaced = owner.vm == m_options.vm
        || m_peers.state(owner.vm).incarnation > owner.incarnation
        || m_view.member(owner.vm).record.incarnation > owner.incarnation;
    if (replaced || now >= state.unlistedSince + m_options.listLag)
        state.stoppedAt = std::min(state.stoppedAt, now);
}

std::vector<former_owner_state>
shard_ownership::formerStates(const std::vector<former_owner> &owners, absl::Time now) const
{
    std::vector<former_owner_state> states;
    for (const former_owner &owner : owners) {
        states.push_back({.owner = owner});
        updateFormerOwner(states.back(), now);
    }
    return states;
}

bool shard_ownership::isRegistered() const
{
    return m_registeredLease != 0 && m_registeredLease == m_lease.lease();
}

bool shard_ownership::holdsLease(absl::Time now) const
{
    return isRegistered() && now < m_lease.validUntil();
}

bool shard_ownership::leaseCoversNewGrants(absl::Time now) const
{
    return holdsLease(now + m_options.grantLifetime);
}

bool shard_ownership::hasCurrentPeerStates(absl::Time now) const
{
    const absl::Duration peerStateWindow = m_options.peerTimeout + m_options.heartbeatDelay;
    return now - m_advancedAt <= m_options.pauseTolerance && now >= m_resumedAt + peerStateWindow;
}

bool shard_ownership::isTakeoverImpossible(absl::Time now) const
{
    return hasCurrentPeerStates(now) && !isStoreReachable(now) && !m_peerVms.empty()
        && m_peers.allWithoutStore(m_peerVms, now);
}

bool shard_ownership::canTakeOverFromUnstoppedOwners(absl::Time now) const
{
    const absl::Duration announcement
        = m_options.peerTimeout + m_options.heartbeatDelay + m_options.grantLifetime;
    return isStoreReachable(now) && now >= m_storeReachableSince + announcement
        && now >= m_startedAt + m_options.listLag;
}

ownership_certainty shard_ownership::certainty(const held_shard &held, absl::Time now) const
{
    if (held.mustWithholdColdGrants(m_options.grantLifetime, now))
        return ownership_certainty::SucceedingUncertain;
    const bool sole = held.isSoleGranter(m_options.grantLifetime, now);
    const bool handingOver = held.handingOver || now >= m_stoppingSince;
    if (!handingOver && (leaseCoversNewGrants(now) || isTakeoverImpossible(now)))
        return sole ? ownership_certainty::Certain : ownership_certainty::Succeeding;
    return sole ? ownership_certainty::Uncertain : ownership_certainty::SucceedingUncertain;
}

} // namespace quetzal
