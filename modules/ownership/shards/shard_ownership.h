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

/** How certain it is that this scheduler is the only owner of a shard. */
enum class ownership_certainty
{
    /** The lease is held, or no other scheduler can have taken the shard over. */
    Certain,
    /** The lease may have expired: grant half of a cold target's limit, rounded down. */
    Uncertain,
    /** A former owner's grants may still be used: grant the other half, rounded up. */
    Succeeding,
    /** Succeeding, and the lease may have expired: grant nothing on a cold target. */
    SucceedingUncertain,
};

/** Returns the part of a cold target's limit that an owner of this certainty may grant. */
int coldShare(ownership_certainty certainty, int coldLimit);

/** A shard that this scheduler owns. */
struct owned_shard
{
    std::string shard;
    std::int64_t epoch = 0;
    ownership_certainty certainty = ownership_certainty::Certain;
    /** Time at which this scheduler took the shard over. */
    absl::Time since;

    bool operator==(const owned_shard &) const = default;
};

/** The owner of a shard as last read from the store or reported by a peer. */
struct recorded_owner
{
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t epoch = 0;

    bool operator==(const recorded_owner &) const = default;
};

/** A shard and its owner, as reported in heartbeats. */
struct shard_claim
{
    std::string shard;
    recorded_owner owner;

    bool operator==(const shard_claim &) const = default;
};

/** The ownership part of a peer's heartbeat. */
struct peer_heartbeat
{
    std::string vm;
    std::int64_t incarnation = 0;
    bool storeReachable = true;
    bool stopping = false;
    /** The shards that the peer owns, and those that it knows it has lost to the receiver. */
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
    /** Renewal interval while no shard is held. */
    absl::Duration idleRenewalInterval = absl::Milliseconds(1500);
    /** Time after which a store request without an answer has an unknown outcome. */
    absl::Duration requestTimeout = absl::Seconds(1);
    /** Time for which the former owner's grants may still be used after a takeover. */
    absl::Duration grantLifetime = absl::Seconds(2);
    /** Part of the lease's lifetime left unused, because clocks run at different rates. */
    absl::Duration clockMargin = absl::Milliseconds(200);
    /** Delay before a member takes over a free shard, times its rank among the candidates. */
    absl::Duration rankDelay = absl::Milliseconds(250);
    /** A peer without contact for longer than this no longer counts as alive. */
    absl::Duration peerTimeout = absl::Milliseconds(1500);
    /** The store counts as unreachable if it has not answered for longer than this. */
    absl::Duration storeTimeout = absl::Seconds(2);
    /** Maximum transit time of a heartbeat; the link drops older ones. */
    absl::Duration heartbeatDelay = absl::Milliseconds(500);
    /** Maximum delay until the VM list names a new VM. */
    absl::Duration listLag = absl::Seconds(10);
    /** If two calls of advance() are further apart, the process counts as having been paused. */
    absl::Duration pauseTolerance = absl::Seconds(1);
};

/**
 * Acquires, keeps and hands over the shards of one scheduler through the store.
 *
 * Keys: <prefix>/members/<vm> is attached to the scheduler's single lease. <prefix>/shards/<shard>
 * holds the owner, an epoch that only increases and the former owners that may still grant; it is
 * not attached to a lease. A takeover is a transaction that succeeds only if the shard's record is
 * unchanged, the owner's member key is unchanged since it was read as absent or of another
 * incarnation, and the new owner's own member key exists. Heartbeats also report owners to peers,
 * so that peers learn of a new owner even while the store is slow.
 *
 * Grants on a cold target follow these rules; their sum over all owners never exceeds its limit:
 * - Certain (whole limit): every former owner has stopped and its grants have expired, and either
 *   the lease outlasts grants made now or every member reports that the store does not answer it.
 * - Uncertain (half, rounded down): every former owner has stopped and its grants have expired,
 *   but the lease may expire before a grant made now. After a pause, a process without a valid
 *   lease lists no shards until it has run for long enough to receive the peers' heartbeats.
 * - Succeeding (half, rounded up): the lease condition of Certain holds, but a former owner may
 *   still grant or its grants may still be used.
 * - SucceedingUncertain (none): neither condition holds, or a former owner restarted less than
 *   grantLifetime ago; a restart ends an owner without first halving its grants.
 *
 * Proof: the store's shard and member records let only one scheduler at a time hold a shard with a
 * lease, so at most one is Certain or Succeeding. The record tells a successor which owners may
 * still grant. It becomes Certain only after each of them has acknowledged a higher epoch, was
 * replaced by a later incarnation or was removed from the VM list, and grantLifetime has passed.
 * So while an owner is Uncertain, each later one is Succeeding (half, rounded up) or
 * SucceedingUncertain (none), and each earlier one has stopped. Routers reject grants of an epoch
 * lower than the highest seen, so two owners can reach the same target only through routers on
 * different sides of a partition; the two halves cover that case.
 *
 * Assumptions: clocks differ by at most clockMargin per lease lifetime; heartbeats arrive within
 * heartbeatDelay or never; a VM runs one scheduler process at a time, with increasing incarnations;
 * the VM list names each scheduler within listLag and removes none that still runs.
 */
class shard_ownership
{
public:
    explicit shard_ownership(shard_ownership_options options);

    /** Sets the fleet's schedulers as named by the VM list, including this one. */
    void setMembers(const std::vector<scheduler_member> &members);
    /** Sets the shards that must have an owner, derived from configuration and VM list. */
    void setShards(std::vector<shard_definition> shards);
    /** Processes a snapshot of the store's keys from a watch; ignores older revisions. */
    void onStoreView(const store_view &view, absl::Time now);
    /** Processes the reply to a request that advance() returned. */
    void onStoreReply(const store_reply &reply, absl::Time now);
    /** Processes a peer's heartbeat: the peer is alive and owns the shards that it claims. */
    void onPeerHeartbeat(const peer_heartbeat &heartbeat, absl::Time now);
    /** Records that a peer is alive, as known from other messages than its heartbeat. */
    void onPeerAlive(const std::string &vm, absl::Time now);
    /** Records a peer's claim to own a shard with an epoch. */
    void onPeerOwns(const std::string &shard, const recorded_owner &owner, absl::Time now);
    /** Records that a peer renewed this scheduler's lease, by a request sent at sentAt. */
    void onRelayedRenewal(absl::Time sentAt, absl::Time now);
    /** Records that a peer's relayed renewal failed because the lease does not exist. */
    void onRelayedRenewalRejected(std::int64_t lease);
    /** Starts to hand over every shard; acquires no more shards. */
    void beginStop(absl::Time now);

    /** Returns the store requests to send now; must be called at least ten times a second. */
    std::vector<store_request> advance(absl::Time now);
    /** True if a peer should be requested to renew the lease that lease() names. */
    bool shouldRequestRelayedRenewal(absl::Time now) const;
    /** Returns the identifier of this scheduler's lease, or 0 while there is none. */
    std::int64_t lease() const { return m_lease.lease(); }

    /** Returns the shards on which this scheduler may grant now. */
    std::vector<owned_shard> ownedShards(absl::Time now) const;
    /** Returns the claims of a heartbeat to this peer: owned shards and those lost to it. */
    std::vector<shard_claim> claimsFor(const std::string &peer, absl::Time now) const;
    /** Returns each shard's known owner of the highest epoch; released shards have no entry. */
    const std::map<std::string, recorded_owner> &knownOwners() const { return m_knownOwners; }
    /** True if the store is reachable or more than half of the known members are alive. */
    bool isConnected(absl::Time now) const;
    /** True if the store has answered within storeTimeout. */
    bool isStoreReachable(absl::Time now) const;
    /** True if beginStop() was called, no shard is held and no transaction is pending. */
    bool isStopped() const;

private:
    /** A transaction that was sent and has not been answered. */
    struct pending_transaction
    {
        /** Empty for the registration of this member. */
        std::string shard;
        shard_record record;
        std::int64_t lease = 0;
        absl::Time sentAt;
    };
    /** A shard without a registered owner. */
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
    /**
     * True if this process held the shard, or if the store names it as a former owner: it may have
     * been recorded as the owner without learning of it.
     */
    bool wasOwner(const std::string &shard) const;
    void updateRegistration();
    void dropLostShards();
    void drop(const std::string &shard);
    bool isOwnRecord(const shard_record &record) const;
    void updateFormerOwners(absl::Time now);
    void updateFormerOwner(former_owner_state &state, absl::Time now) const;
    std::vector<former_owner_state> formerStates(const std::vector<former_owner> &owners,
                                                 absl::Time now) const;
    /** Returns those of the owners that are not known to have stopped. */
    std::vector<former_owner> filterUnstoppedOwners(const std::vector<former_owner> &owners,
                                                    absl::Time now) const;

    /**
     * True if the record's owner is known to have stopped, as after a restart. Such an owner may
     * not have halved its last grants.
     */
    bool hasEndedAbruptly(const shard_record &record, absl::Time now) const;
    bool isRegistered() const;
    bool holdsLease(absl::Time now) const;
    /** True if the lease outlasts a grant made now. */
    bool leaseCoversNewGrants(absl::Time now) const;
    /** True if the process has run without a pause for long enough to receive peers' heartbeats. */
    bool hasCurrentPeerStates(absl::Time now) const;
    /** True if all members report that the store does not answer them, so none can take over. */
    bool isTakeoverImpossible(absl::Time now) const;
    /**
     * True once no owner can still be Certain on the ground that no member reaches the store:
     * the store has been reachable long enough for peers to learn of it and for their grants to
     * expire, and this process has run long enough to be named by the VM list.
     */
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
    /** Holds a shard whose record already names this process, such as after a handover. */
    void adopt(const std::string &shard, absl::Time now);
    bool isFree(const shard_record &record) const;
    int rank(const shard_definition &definition) const;
    std::string successor(const shard_definition &definition, absl::Time now) const;
    /** Returns a transaction that requires an unchanged shard record and this member's record. */
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
    /** The highest known epoch of each shard, including released ones. */
    std::map<std::string, std::int64_t> m_epochs;
    std::map<std::string, held_shard> m_held;
    /** Shards that this process once held and has lost. */
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
