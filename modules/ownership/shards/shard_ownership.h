#pragma once

#include "ownership/lease/lease_keeper.h"
#include "ownership/peers/peer_table.h"
#include "ownership/shards/held_shard.h"
#include "ownership/store/ownership_view.h"
#include "ownership/store/store_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

/** A scheduler of the fleet as the VM list names it. */
struct scheduler_member
{
    std::string vm;
    std::string dataCentre;

    bool operator==(const scheduler_member &) const = default;
};

/** A shard that must have an owner. */
struct shard_definition
{
    std::string shard;
    std::string service;
    std::string dataCentre;

    bool operator==(const shard_definition &) const = default;
};

/** How surely this scheduler is the only owner of a shard. */
enum class ownership_certainty
{
    /** The lease is held, or nobody could have taken the shard over. */
    Certain,
    /** The lease may have lapsed: grant half of a cold target's limit, rounded down. */
    Uncertain,
    /** Taken over while the former owner's grants may still be used: grant the other half. */
    Succeeding,
    /** Succeeding, and the lease may have lapsed: grant nothing on a cold target. */
    SucceedingUncertain,
};

/** The part of a cold target's limit that an owner of this certainty may grant. */
int coldShare(ownership_certainty certainty, int coldLimit);

/** A shard that this scheduler owns. */
struct owned_shard
{
    std::string shard;
    std::int64_t epoch = 0;
    ownership_certainty certainty = ownership_certainty::Certain;
    /** When this scheduler took the shard over. */
    absl::Time since;

    bool operator==(const owned_shard &) const = default;
};

/** The recorded owner of a shard as last read from the store or heard from a peer. */
struct recorded_owner
{
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;

    bool operator==(const recorded_owner &) const = default;
};

/** A shard and its owner, as heartbeats carry it. */
struct shard_claim
{
    std::string shard;
    recorded_owner owner;

    bool operator==(const shard_claim &) const = default;
};

/** What a peer's heartbeat says about ownership. */
struct peer_heartbeat
{
    std::string vm;
    std::int64_t incarnation = 0;
    bool storeReachable = true;
    bool stopping = false;
    /** The shards that the peer owns, and those that it knows to have lost to the receiver. */
    std::vector<shard_claim> claims;

    bool operator==(const peer_heartbeat &) const = default;
};

/** Options of shard_ownership. */
struct shard_ownership_options
{
    std::string vm;
    std::string dataCentre;
    std::int64_t incarnation = 0;
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
    absl::Duration leaseLifetime = absl::Seconds(4);
    absl::Duration renewalInterval = absl::Seconds(1);
    /** Interval of renewals while no shard is held. */
    absl::Duration idleRenewalInterval = absl::Milliseconds(1500);
    /** How long a store request may take before its outcome counts as unknown. */
    absl::Duration requestTimeout = absl::Seconds(1);
    /** How long after a takeover the former owner's grants may still be used. */
    absl::Duration grantLifetime = absl::Seconds(2);
    /** Part of the lease's lifetime that is not used, for clocks that run at different rates. */
    absl::Duration clockMargin = absl::Milliseconds(200);
    /** How much longer each lower-ranked member waits before it takes a free shard. */
    absl::Duration rankDelay = absl::Milliseconds(250);
    /** A peer counts as silent when it was not heard of for this long. */
    absl::Duration peerTimeout = absl::Milliseconds(1500);
    /** The store counts as unreachable when it did not answer for this long. */
    absl::Duration storeTimeout = absl::Seconds(2);
    /** Longest time that a heartbeat may be under way; the link drops older ones. */
    absl::Duration heartbeatDelay = absl::Milliseconds(500);
    /** Longest time until the VM list names a new VM. */
    absl::Duration listLag = absl::Seconds(10);
    /** A longer gap between two calls of advance() counts as a pause of this process. */
    absl::Duration pauseTolerance = absl::Seconds(1);
};

/**
 * Acquires, keeps and hands over shards of one scheduler through the store.
 *
 * Keys: <prefix>/members/<vm> attached to the scheduler's one lease; <prefix>/shards/<shard> with
 * the owner, an epoch that only grows and the former owners that may still grant; it is not
 * attached to any lease. A shard is taken over by a transaction that holds only when the shard's
 * record is unchanged, the owner's member key is absent or of another incarnation, and the taker's
 * own member key is present. Peers hear of owners by heartbeat as well, so that a slow store delays
 * nobody.
 *
 * Rule for grants on a cold target, whose sum over all owners never exceeds its limit:
 * - Certain (all): the lease outlasts the grants made now, and every former owner has stopped and
 *   its grants have lapsed; or every member says that the store does not answer it.
 * - Uncertain (half, down): every former owner has stopped, and the lease may lapse before a grant
 *   made now. A process that was paused lists nothing until it has settled.
 * - Succeeding (half, up): the lease is held as for Certain, but a former owner may still grant.
 * - SucceedingUncertain (none): neither, or for grantLifetime after a former owner's restart, which
 *   ends that owner's grants without halving them first.
 *
 * Proof: the store's record and member keys let one scheduler at a time hold a shard with a lease,
 * so at most one is Certain or Succeeding. A successor is told by the record which owners may still
 * grant and becomes Certain only after each of them acknowledged a higher epoch, was replaced by a
 * later incarnation or left the VM list, and grantLifetime passed. So while an owner is Uncertain,
 * each later one is Succeeding (half, up) or SucceedingUncertain (none), and each earlier one has
 * stopped. Routers refuse grants of an epoch lower than the highest seen, so two owners can reach
 * the same target only through routers on different sides of a partition; the halves cover those.
 *
 * Assumptions: clocks run at equal rates but for clockMargin per lifetime; heartbeats arrive within
 * heartbeatDelay or never; a VM runs one scheduler process at a time, with a growing incarnation;
 * the VM list names each scheduler within listLag and drops none that still runs.
 */
class shard_ownership
{
public:
    explicit shard_ownership(shard_ownership_options options);

    /** The members of the fleet by the VM list; this scheduler included. */
    void setMembers(const std::vector<scheduler_member> &members);
    /** The shards that must have an owner by the configuration and the VM list. */
    void setShards(std::vector<shard_definition> shards);
    /** The store's keys below the prefix, from a watch; revisions that go back are ignored. */
    void onStoreView(const store_view &view, absl::Time now);
    /** The answer to a request that advance() returned. */
    void onStoreReply(const store_reply &reply, absl::Time now);
    /** A peer's heartbeat arrived: it is alive and owns what it says. */
    void onPeerHeartbeat(const peer_heartbeat &heartbeat, absl::Time now);
    /** A peer is alive, known by other means than a whole heartbeat. */
    void onPeerAlive(const std::string &vm, absl::Time now);
    /** A peer says that it owns a shard with an epoch. */
    void onPeerOwns(const std::string &shard, const recorded_owner &owner, absl::Time now);
    /** A peer renewed this scheduler's lease on its behalf. */
    void onRelayedRenewal(absl::Time sentAt, absl::Time now);
    /** A peer was told by the store that this scheduler's lease does not exist. */
    void onRelayRefused(std::int64_t lease);
    /** Begins to hand every shard over; no further shard is acquired. */
    void beginStop(absl::Time now);

    /** Requests to the store that are due; call at least ten times a second. */
    std::vector<store_request> advance(absl::Time now);
    /** True when a peer should be asked to renew the lease that lease() names. */
    bool wantsRelay(absl::Time now) const;
    std::int64_t lease() const { return m_lease.lease(); }

    /** Shards on which this scheduler may grant now. */
    std::vector<owned_shard> ownedShards(absl::Time now) const;
    /** What a heartbeat to this peer says: the shards owned, and those lost to that peer. */
    std::vector<shard_claim> claimsFor(const std::string &peer, absl::Time now) const;
    /** The highest-epoch owner known of each shard; a shard that was given up has no entry. */
    const std::map<std::string, recorded_owner> &knownOwners() const { return m_knownOwners; }
    /** True when the store or more than half of the last known members were heard of lately. */
    bool isConnected(absl::Time now) const;
    /** True when the store answered lately. */
    bool isStoreReachable(absl::Time now) const;
    /** True when beginStop was called and no shard is held any more. */
    bool isStopped() const;

private:
    /** A transaction that was sent and not yet answered. */
    struct pending_transaction
    {
        /** Empty for the registration of this member. */
        std::string shard;
        shard_record record;
        std::int64_t lease = 0;
        absl::Time sentAt;
    };
    /** A shard without a live owner. */
    struct free_shard
    {
        std::int64_t modRevision = -1;
        absl::Time since;
        absl::Time retryAt = absl::InfinitePast();
    };

    void expirePending(absl::Time now);
    void noteStoreAnswer(absl::Time now);
    void updateKnownOwner(const std::string &shard, const recorded_owner &owner);
    std::int64_t highestEpoch(const std::string &shard) const;
    void recordAcknowledgement(const peer_heartbeat &heartbeat, const shard_claim &claim,
                               absl::Time now);
    /** True when this process held the shard, or was named as its owner without knowing it. */
    bool wasOwner(const std::string &shard) const;
    void updateRegistration();
    void dropLostShards();
    void drop(const std::string &shard);
    bool isOwnRecord(const shard_record &record) const;
    void updateFormerOwners(absl::Time now);
    void updateFormerOwner(former_owner_state &state, absl::Time now) const;
    std::vector<former_owner_state> formerStates(const std::vector<former_owner> &owners,
                                                 absl::Time now) const;
    std::vector<former_owner> filterUnstoppedOwners(const std::vector<former_owner> &owners,
                                                    absl::Time now) const;

    /** True when the record's owner ended by a restart and not by doubt, as far as is known. */
    bool hasEndedAbruptly(const shard_record &record, absl::Time now) const;
    bool isRegistered() const;
    bool holdsLease(absl::Time now) const;
    bool leaseCoversNewGrants(absl::Time now) const;
    bool isSettled(absl::Time now) const;
    bool isTakeoverImpossible(absl::Time now) const;
    bool canTakeOverFromUnstoppedOwners(absl::Time now) const;
    ownership_certainty certainty(const held_shard &held, absl::Time now) const;

    void addLeaseRequest(std::vector<store_request> &requests, absl::Time now);
    void addRegistration(std::vector<store_request> &requests, absl::Time now);
    void addAcquisitions(std::vector<store_request> &requests, absl::Time now);
    bool isAcquisitionDue(const shard_definition &definition, absl::Time now);
    store_transaction acquisition(const shard_definition &definition, absl::Time now);
    store_transaction handover(const std::string &shard, const held_shard &held,
                               const std::string &successor, absl::Time now);
    void addHandovers(std::vector<store_request> &requests, absl::Time now);
    void addRevocation(std::vector<store_request> &requests);
    void adopt(const std::string &shard, absl::Time now);
    bool isFree(const shard_record &record) const;
    int rank(const shard_definition &definition) const;
    std::string successor(const shard_definition &definition, absl::Time now) const;
    /** A transaction that changes an unchanged shard while this member is registered. */
    store_transaction guardedTransaction(const std::string &shard, const shard_record &record,
                                         std::int64_t modRevision, absl::Time now);
    void addMemberCompare(store_transaction &transaction, const std::string &vm) const;
    void onTransactionDone(const pending_transaction &pending, std::int64_t revision,
                           absl::Time now);
    bool isPending(const std::string &shard) const;

    shard_ownership_options m_options;
    lease_keeper m_lease;
    peer_table m_peers;
    ownership_view m_view;
    std::map<std::string, recorded_owner> m_knownOwners;
    /** The highest epoch known of each shard, given up or not. */
    std::map<std::string, std::int64_t> m_epochs;
    std::map<std::string, held_shard> m_held;
    /** Shards that this process held once and lost. */
    std::set<std::string> m_lostShards;
    std::map<std::string, free_shard> m_free;
    std::map<std::uint64_t, pending_transaction> m_pending;
    std::vector<std::string> m_peerVms;
    std::vector<shard_definition> m_shards;
    std::uint64_t m_lastRequest = 0;
    std::int64_t m_registeredLease = 0;
    std::int64_t m_memberRevision = 0;
    absl::Time m_registrationRetryAt = absl::InfinitePast();
    bool m_superseded = false;
    bool m_revoked = false;
    absl::Time m_startedAt = absl::InfiniteFuture();
    absl::Time m_advancedAt = absl::InfiniteFuture();
    absl::Time m_resumedAt = absl::InfinitePast();
    absl::Time m_storeAnsweredAt = absl::InfinitePast();
    absl::Time m_storeReachableSince = absl::InfiniteFuture();
    absl::Time m_stoppingSince = absl::InfiniteFuture();
};

} // namespace quetzal
