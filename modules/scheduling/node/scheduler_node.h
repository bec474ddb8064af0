#pragma once

#include "configuration/revision/configuration_follower.h"
#include "fairness/ledger/ledger_home.h"
#include "ownership/shards/shard_ownership.h"
#include "protocol/messages/outgoing_message.h"
#include "scheduling/node/ledger_homes.h"
#include "scheduling/node/scheduler_status.h"
#include "scheduling/shard/shard_scheduler.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** Options of scheduler_node. */
struct scheduler_node_options
{
    std::string vm;
    std::string dataCentre;
    /** Increases with each start of the process. */
    std::int64_t incarnation = 0;
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
    absl::Duration heartbeatInterval = absl::Milliseconds(400);
    absl::Duration fleetViewInterval = absl::Milliseconds(400);
    /** Interval between two exchanges of a shard's charges with the homes. */
    absl::Duration ledgerInterval = absl::Milliseconds(200);
    /**
     * The same interval for services that count answered requests, whose costs are known exactly.
     */
    absl::Duration answeredLedgerInterval = absl::Milliseconds(50);
    /** A scheduler that has sent no heartbeat for this long is not a home of the ledger. */
    absl::Duration homeTimeout = absl::Milliseconds(1500);
    /** Maximum interval between two messages that list the shard owners to a router. */
    absl::Duration ownersResendInterval = absl::Seconds(2);
    /** A router that has sent no report for this long receives no more fleet views. */
    absl::Duration routerTimeout = absl::Seconds(3);
};

/** An action for the hosting process: a message to send or a request to the store. */
using scheduler_action = std::variant<outgoing_message, store_request>;

/**
 * Makes all decisions of one scheduler: the shards it owns, the grants, and the messages to other
 * nodes.
 *
 * Its inputs are messages, the VM list, load reports, store views and replies, and the time. The
 * hosting process carries out the resulting actions; see takeActions().
 */
class scheduler_node
{
public:
    /** Creates a node that owns no shards and has no configuration. */
    explicit scheduler_node(scheduler_node_options options);

    /** Sets the schedulers of the fleet, including this one, and the targets, from the VM list. */
    void setVmList(const std::vector<scheduler_member> &members,
                   const std::vector<target_listing> &targets, absl::Time now);
    /** Applies a load report of a target. */
    void onLoad(const std::string &target, const target_load &load, absl::Time now);
    /** Applies a snapshot of the store. */
    void onStoreView(const store_view &view, absl::Time now);
    /** Applies the reply to a store request that takeActions() has returned. */
    void onStoreReply(const store_reply &reply, absl::Time now);
    /** Applies a message of another node. */
    void onMessage(const node_id &from, const message &content, absl::Time now);
    /** Starts to hand over every shard. The shutdown is complete once isStopped() is true. */
    void beginStop(absl::Time now);
    /** Performs all periodic work. Call this at least every 10 ms and after each event. */
    void advance(absl::Time now);

    /** Returns and removes the actions decided since the last call. */
    std::vector<scheduler_action> takeActions();

    /** True once the shutdown is complete. */
    bool isStopped() const;
    /** Returns the targets of this scheduler's shards, whose load the hosting process polls. */
    std::vector<target_listing> polledTargets() const;
    /** Returns the state for operators. */
    scheduler_status status(absl::Time now) const;

private:
    struct router_state
    {
        absl::Time lastReport;
        std::int64_t revision = 0;
        std::int64_t sequence = 0;
        bool wantsView = false;
        std::size_t sentOwnersFingerprint = 0;
        absl::Time ownersSentAt = absl::InfinitePast();
        absl::Time viewSentAt = absl::InfinitePast();
    };
    /** A renewal of this scheduler's lease that it has requested from a peer. */
    struct pending_renewal
    {
        absl::Time sentAt;
        std::int64_t lease = 0;
    };
    /** A renewal that this scheduler performs at the store for a peer. */
    struct relayed_renewal
    {
        std::string peer;
        std::int64_t peerRequestId = 0;
    };

    void onReport(const node_id &from, const protocol::router_report &report, absl::Time now);
    void onHeartbeat(const protocol::heartbeat &heartbeat, absl::Time now);
    void onLedgerDelta(const node_id &from, const protocol::ledger_delta &delta);
    void onLedgerTotals(const node_id &from, const protocol::ledger_totals &totals);
    void onConfigurationRequest(const node_id &from,
                                const protocol::configuration_request &configurationRequest);
    void onRenewalRequest(const node_id &from, const protocol::renewal_request &request);
    void onRenewalReply(const protocol::renewal_reply &reply, absl::Time now);
    void onNewConfiguration(absl::Time now);
    void reconcileShards(absl::Time now);
    void openShard(const owned_shard &owned, const shard_definition &definition, absl::Time now);
    /**
     * True if this scheduler is the last known owner of the shard, and in this epoch: no successor
     * is known.
     */
    bool isOwnEpoch(const shard_scheduler_options &shard) const;
    void updateTargets(absl::Time now);
    void grantAll(absl::Time now);
    void sendHeartbeats(absl::Time now);
    void sendFleetViews(absl::Time now);
    void exchangeLedger(absl::Time now);
    void requestRenewalFromPeer(absl::Time now);
    std::vector<protocol::shard_owner> knownOwners() const;
    void updateHomes(absl::Time now);
    void send(node_role role, const std::string &vm, message content);

    scheduler_node_options m_options;
    configuration_follower m_follower;
    shard_ownership m_ownership;
    ledger_home m_ledgerHome;
    ledger_homes m_homes;
    std::vector<scheduler_member> m_members;
    std::vector<target_listing> m_targets;
    std::vector<shard_definition> m_definitions;
    std::map<std::string, shard_scheduler> m_shards;
    std::map<std::string, ownership_certainty> m_certainties;
    std::map<std::string, router_state> m_routers;
    std::map<std::uint64_t, relayed_renewal> m_relayedRenewals;
    std::map<std::int64_t, pending_renewal> m_pendingRenewals;
    std::int64_t m_heartbeatSequence = 0;
    std::uint64_t m_renewalSequence = 0;
    std::size_t m_renewalPeerIndex = 0;
    absl::Time m_lastHeartbeat = absl::InfinitePast();
    std::map<std::string, absl::Time> m_lastLedgerExchange;
    absl::Time m_lastRenewalRequestAt = absl::InfinitePast();
    std::size_t m_ownersFingerprint = 0;
    bool m_stopping = false;
    std::vector<scheduler_action> m_actions;
};

} // namespace quetzal
