#pragma once

#include "ownership/store/store_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
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
    /** Neither store nor most peers can be reached: grant half of a cold target's limit. */
    InDoubt,
    /** Taken over while the former owner's grants may still be used: grant the other half. */
    Succeeding,
};

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
    /** How long a store request may take before its outcome counts as unknown. */
    absl::Duration requestTimeout = absl::Seconds(1);
    /** How long after a takeover the former owner's grants may still be used. */
    absl::Duration grantLifetime = absl::Seconds(2);
};

/**
 * Acquires, keeps and hands over shards of one scheduler through the store.
 *
 * Keys: <prefix>/members/<vm> attached to the scheduler's one lease; <prefix>/shards/<shard> with
 * the owner and an epoch that only grows, not attached to any lease. A shard is taken over by a
 * transaction that holds only when the shard's record is unchanged and the owner's member key is
 * absent. Peers hear of owners by heartbeat as well, so that a slow store delays nobody.
 */
class shard_ownership
{
public:
    explicit shard_ownership(shard_ownership_options options);

    /** The members of the fleet by the VM list; this scheduler included. */
    void setMembers(std::vector<scheduler_member> members);
    /** The shards that must have an owner by the configuration and the VM list. */
    void setShards(std::vector<shard_definition> shards);
    /** The store's keys below the prefix, from a watch; revisions that go back are ignored. */
    void onStoreView(const store_view &view, absl::Time now);
    /** The answer to a request that advance() returned. */
    void onStoreReply(const store_reply &reply, absl::Time now);
    /** A peer's heartbeat arrived: it is alive and owns what it says. */
    void onPeerHeard(const std::string &vm, absl::Time now);
    /** A peer says that it owns a shard with an epoch. */
    void onPeerOwns(const std::string &shard, const recorded_owner &owner, absl::Time now);
    /** A peer renewed this scheduler's lease on its behalf. */
    void onRelayedRenewal(absl::Time sentAt, absl::Time now);
    /** Begins to hand every shard over; no further shard is acquired. */
    void beginStop(absl::Time now);

    /** Requests to the store that are due; call at least ten times a second. */
    std::vector<store_request> advance(absl::Time now);
    /** True when a peer should be asked to renew the lease that lease() names. */
    bool wantsRelay(absl::Time now) const;
    std::int64_t lease() const;

    /** Shards on which this scheduler may grant now. */
    std::vector<owned_shard> ownedShards(absl::Time now) const;
    /** The highest-epoch owner known of each shard. */
    const std::map<std::string, recorded_owner> &knownOwners() const;
    /** True when the store or more than half of the last known members were heard of lately. */
    bool isConnected(absl::Time now) const;
    /** True when the store answered lately. */
    bool isStoreReachable(absl::Time now) const;
    /** True when beginStop was called and no shard is held any more. */
    bool isStopped() const;

private:
    shard_ownership_options m_options;
    std::map<std::string, recorded_owner> m_knownOwners;
    std::vector<scheduler_member> m_members;
    std::vector<shard_definition> m_shards;
};

} // namespace quetzal
