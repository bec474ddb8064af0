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
    /** Differs at each start of the process and grows. */
    std::int64_t incarnation = 0;
    /** Store key prefix of the environment, such as "/quetzal/production". */
    std::string keyPrefix;
    absl::Duration heartbeatInterval = absl::Milliseconds(400);
    absl::Duration fleetViewInterval = absl::Milliseconds(400);
    /** Pause between two exchanges of a shard's charges with the homes. */
    absl::Duration ledgerInterval = absl::Milliseconds(200);
    /** The same for services counted in answered requests, whose costs are known exactly. */
    absl::Duration answeredLedgerInterval = absl::Milliseconds(50);
    /** A scheduler that is silent for this long is no home of the ledger. */
    absl::Duration homeTimeout = absl::Milliseconds(1500);
    /** Shard owners are repeated to every router at least this often. */
    absl::Duration ownersResendInterval = absl::Seconds(2);
    /** A router that is silent for this long gets no more fleet views. */
    absl::Duration routerTimeout = absl::Seconds(3);
};

/** Something for the shell to do: send a message or ask the store. */
using scheduler_action = std::variant<outgoing_message, store_request>;

/**
 * All decisions of one scheduler: which shards it owns, what it grants, what it tells whom.
 *
 * Driven by messages, the VM list, load reports, store views and replies, and the time.
 */
class scheduler_node
{
public:
    explicit scheduler_node(scheduler_node_options options);

    /** The VM list: the schedulers of the fleet, this one included, and the targets. */
    void setVmList(const std::vector<scheduler_member> &members,
                   const std::vector<target_listing> &targets, absl::Time now);
    void onLoad(const std::string &target, const target_load &load, absl::Time now);
    void onStoreView(const store_view &view, absl::Time now);
    void onStoreReply(const store_reply &reply, absl::Time now);
    void onMessage(const node_id &from, const message &content, absl::Time now);
    /** Hands every shard over; the node is finished when isStopped() is true. */
    void beginStop(absl::Time now);
    /** Does what is due; call at least every 10 ms and after each event. */
    void advance(absl::Time now);

    /** The actions decided since the last call. */
    std::vector<scheduler_action> takeActions();

    bool isStopped() const;
    /** The targets of the shards owned now, whose load the shell polls. */
    std::vector<target_listing> polledTargets() const;
    scheduler_status status(absl::Time now) const;

private:
    struct router_state
    {
        absl::Time lastReport;
        std::int64_t revision = 0;
        std::int64_t sequence = 0;
        bool wantsView = false;
        std::size_t ownersSent = 0;
        absl::Time ownersSentAt = absl::InfinitePast();
        absl::Time viewSentAt = absl::InfinitePast();
    };
    struct pending_renewal
    {
        absl::Time sentAt;
        std::int64_t lease = 0;
    };
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
    /** True when no other owner than this scheduler is known to have followed on this epoch. */
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
    std::map<std::uint64_t, relayed_renewal> m_relayed;
    std::map<std::int64_t, pending_renewal> m_pendingRenewals;
    std::int64_t m_heartbeatSequence = 0;
    std::uint64_t m_relaySequence = 0;
    std::size_t m_relayPeer = 0;
    absl::Time m_lastHeartbeat = absl::InfinitePast();
    std::map<std::string, absl::Time> m_lastLedgerExchange;
    absl::Time m_lastRelay = absl::InfinitePast();
    std::size_t m_ownersFingerprint = 0;
    bool m_stopping = false;
    std::vector<scheduler_action> m_actions;
};

} // namespace quetzal
