#include "ownership/shards/shard_ownership.h"

#include <algorithm>
#include <utility>

namespace quetzal {

void shard_ownership::expirePending(absl::Time now)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        return now >= entry.second.sentAt + m_options.requestTimeout;
    });
}

bool shard_ownership::isPending(const std::string &shard) const
{
    return std::ranges::any_of(m_pending,
                               [&](const auto &entry) { return entry.second.shard == shard; });
}

void shard_ownership::addLeaseRequest(std::vector<store_request> &requests, absl::Time now)
{
    const bool stopping = m_stoppingSince != absl::InfiniteFuture();
    if (stopping && m_held.empty() && m_lease.lease() == 0)
        return;
    if (auto request = m_lease.advance(m_lastRequest + 1, m_held.empty(), now)) {
        ++m_lastRequest;
        requests.push_back(*std::move(request));
    }
}

void shard_ownership::addRegistration(std::vector<store_request> &requests, absl::Time now)
{
    const bool due = m_lease.lease() != 0 && !isRegistered() && m_view.revision() >= 0
        && !isPending("") && now >= m_registrationRetryAt;
    if (!due)
        return;
    store_transaction transaction {
        .requestId = ++m_lastRequest, .compares = {}, .puts = {}, .deletes = {}};
    addMemberCompare(transaction, m_options.vm);
    for (const auto &[shard, held] : m_held)
        transaction.compares.push_back({m_view.shardKey(shard), held.modRevision});
    const member_record record {.incarnation = m_options.incarnation,
                                .dataCentre = m_options.dataCentre};
    transaction.puts.push_back({m_view.memberKey(m_options.vm), toText(record), m_lease.lease()});
    m_pending[transaction.requestId]
        = {.shard = "", .record = {}, .lease = m_lease.lease(), .sentAt = now};
    requests.emplace_back(std::move(transaction));
}

void shard_ownership::addAcquisitions(std::vector<store_request> &requests, absl::Time now)
{
    for (const shard_definition &definition : m_shards) {
        if (m_held.contains(definition.shard))
            continue;
        adopt(definition.shard, now);
        if (isAcquisitionDue(definition, now))
            requests.emplace_back(acquisition(definition, now));
    }
}

void shard_ownership::adopt(const std::string &shard, absl::Time now)
{
    const stored_record<shard_record> &stored = m_view.shard(shard);
    const bool newest = stored.record.epoch >= highestEpoch(shard);
    if (!isOwnRecord(stored.record) || !newest)
        return;
    held_shard held {.epoch = stored.record.epoch,
                     .modRevision = stored.modRevision,
                     .since = now,
                     .abrupt = stored.record.abrupt,
                     .former = formerStates(stored.record.former, now)};
    const bool allStopped = held.unstoppedOwners().empty();
    held.abrupt |= allStopped && !held.former.empty();
    if (allStopped || canTakeOverFromUnstoppedOwners(now))
        m_held[shard] = std::move(held);
}

bool shard_ownership::isFree(const shard_record &record) const
{
    const stored_record<member_record> &owner = m_view.member(record.vm);
    return record.vm.empty() || owner.modRevision == 0
        || owner.record.incarnation != record.incarnation;
}

bool shard_ownership::isAcquisitionDue(const shard_definition &definition, absl::Time now)
{
    const std::string &shard = definition.shard;
    const stored_record<shard_record> &stored = m_view.shard(shard);
    const bool canAcquire = holdsLease(now) && m_stoppingSince == absl::InfiniteFuture();
    if (!canAcquire || m_held.contains(shard) || isPending(shard) || !isFree(stored.record)) {
        if (!isFree(stored.record))
            m_free.erase(shard);
        return false;
    }
    free_shard &entry = m_free[shard];
    if (entry.modRevision != stored.modRevision)
        entry = {.modRevision = stored.modRevision, .since = now};
    const int ownRank = rank(definition);
    if (ownRank < 0 || now < entry.retryAt || now < entry.since + ownRank * m_options.rankDelay)
        return false;
    return canTakeOverFromUnstoppedOwners(now)
        || filterUnstoppedOwners(formerOwnersAfter(stored.record), now).empty();
}

std::vector<former_owner>
shard_ownership::filterUnstoppedOwners(const std::vector<former_owner> &owners,
                                       absl::Time now) const
{
    return held_shard {.former = formerStates(owners, now)}.unstoppedOwners();
}

int shard_ownership::rank(const shard_definition &definition) const
{
    const std::vector<std::string> rankedCandidates
        = m_view.rankedCandidates(definition.shard, definition.dataCentre);
    const auto own = std::ranges::find(rankedCandidates, m_options.vm);
    return own == rankedCandidates.end() ? -1 : static_cast<int>(own - rankedCandidates.begin());
}

bool shard_ownership::hasEndedAbruptly(const shard_record &record, absl::Time now) const
{
    const former_owner owner {.vm = record.vm, .incarnation = record.incarnation};
    return !record.vm.empty() && filterUnstoppedOwners({owner}, now).empty();
}

store_transaction shard_ownership::acquisition(const shard_definition &definition, absl::Time now)
{
    const stored_record<shard_record> &stored = m_view.shard(definition.shard);
    const std::int64_t highest = std::max(stored.record.epoch, highestEpoch(definition.shard));
    const std::string &owner = stored.record.vm;
    const std::vector<former_owner> before = formerOwnersAfter(stored.record);
    const shard_record record {.vm = m_options.vm,
                               .incarnation = m_options.incarnation,
                               .epoch = highest + 1,
                               .former = filterUnstoppedOwners(before, now),
                               .abrupt = hasEndedAbruptly(stored.record, now)};
    store_transaction transaction
        = guardedTransaction(definition.shard, record, stored.modRevision, now);
    if (!owner.empty() && owner != m_options.vm)
        addMemberCompare(transaction, owner);
    return transaction;
}

void shard_ownership::addHandovers(std::vector<store_request> &requests, absl::Time now)
{
    if (now < m_stoppingSince + m_options.grantLifetime)
        return;
    for (const shard_definition &definition : m_shards) {
        const std::string &shard = definition.shard;
        const auto held = m_held.find(shard);
        const auto entry = m_free.find(shard);
        const bool backingOff = entry != m_free.end() && now < entry->second.retryAt;
        if (held == m_held.end() || isPending(shard) || backingOff || !holdsLease(now))
            continue;
        held->second.handingOver = true;
        requests.emplace_back(handover(shard, held->second, successor(definition, now), now));
    }
    std::erase_if(m_held, [&](const auto &item) {
        return std::ranges::none_of(m_shards, [&](const shard_definition &definition) {
            return definition.shard == item.first;
        });
    });
}

store_transaction shard_ownership::handover(const std::string &shard, const held_shard &held,
                                            const std::string &successor, absl::Time now)
{
    shard_record record {.vm = successor,
                         .incarnation = m_view.member(successor).record.incarnation,
                         .epoch = held.epoch + 1,
                         .former = held.unstoppedOwners()};
    record.former.push_back({.vm = m_options.vm, .incarnation = m_options.incarnation});
    store_transaction transaction = guardedTransaction(shard, record, held.modRevision, now);
    if (!successor.empty())
        addMemberCompare(transaction, successor);
    return transaction;
}

std::string shard_ownership::successor(const shard_definition &definition, absl::Time now) const
{
    for (const std::string &vm : m_view.rankedCandidates(definition.shard, definition.dataCentre)) {
        if (vm != m_options.vm && m_peers.isAlive(vm, now) && !m_peers.state(vm).stopping)
            return vm;
    }
    return "";
}

void shard_ownership::addRevocation(std::vector<store_request> &requests)
{
    if (!isStopped() || m_lease.lease() == 0)
        return;
    requests.emplace_back(
        lease_revocation {.requestId = ++m_lastRequest, .lease = m_lease.lease()});
    m_lease.drop();
    m_revoked = true;
}

store_transaction shard_ownership::guardedTransaction(const std::string &shard,
                                                      const shard_record &record,
                                                      std::int64_t modRevision, absl::Time now)
{
    store_transaction transaction {.requestId = ++m_lastRequest,
                                   .compares = {{m_view.shardKey(shard), modRevision}},
                                   .puts = {{m_view.shardKey(shard), toText(record), 0}},
                                   .deletes = {}};
    addMemberCompare(transaction, m_options.vm);
    m_pending[transaction.requestId]
        = {.shard = shard, .record = record, .lease = m_lease.lease(), .sentAt = now};
    return transaction;
}

void shard_ownership::addMemberCompare(store_transaction &transaction, const std::string &vm) const
{
    const std::int64_t revision
        = vm == m_options.vm && isRegistered() ? m_memberRevision : m_view.member(vm).modRevision;
    transaction.compares.push_back({m_view.memberKey(vm), revision});
}

void shard_ownership::onTransactionDone(const pending_transaction &pending, std::int64_t revision,
                                        absl::Time now)
{
    if (pending.shard.empty()) {
        m_registeredLease = pending.lease;
        m_memberRevision = revision;
        return;
    }
    updateKnownOwner(pending.shard,
                     {.vm = pending.record.vm,
                      .incarnation = pending.record.incarnation,
                      .epoch = pending.record.epoch});
    const bool superseded = highestEpoch(pending.shard) > pending.record.epoch;
    if (!isOwnRecord(pending.record) || superseded)
        return;
    m_held[pending.shard] = {.epoch = pending.record.epoch,
                             .modRevision = revision,
                             .since = now,
                             .abrupt = pending.record.abrupt,
                             .former = formerStates(pending.record.former, now)};
}

} // namespace quetzal
