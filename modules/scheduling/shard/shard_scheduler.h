#pragma once

#include "configuration/document/configuration_document.h"
#include "fairness/fairness.h"
#include "ownership/shards/shard_ownership.h"
#include "protocol/messages/message.h"
#include "scheduling/shard/demand_table.h"
#include "scheduling/shard/target_slots.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** Options of shard_scheduler. */
struct shard_scheduler_options
{
    std::string shard;
    /** Empty if the shard spans several data centres. */
    std::string dataCentre;
    std::int64_t epoch = 0;
    service_definition service;
    /** When this scheduler took over the shard. */
    absl::Time since;
    /** Ticket numbers start above this one; an epoch never uses a number twice. */
    std::int64_t lastTicket = 0;
    /** How long a router may use a grant after it has sent the report that the grant names. */
    absl::Duration grantLifetime = absl::Seconds(2);
    /** The tickets of a router that has sent no report for this long are released. */
    absl::Duration routerTimeout = absl::Seconds(3);
    /** A grant that no report lists for this long is revoked, because it may have been lost. */
    absl::Duration revocationDelay = absl::Milliseconds(400);
    /**
     * Maximum time after a takeover for which a workspace is not served because its total has not
     * been received from the ledger.
     */
    absl::Duration ledgerTimeout = absl::Milliseconds(800);
};

/** A grant and the VM of the router that receives it. */
struct addressed_grant
{
    std::string router;
    protocol::grant content;

    bool operator==(const addressed_grant &) const = default;
};

/** A revocation and the VM of the router that receives it. */
struct addressed_revocation
{
    std::string router;
    protocol::revocation content;

    bool operator==(const addressed_revocation &) const = default;
};

/** The state of one workspace at a shard for the status page. */
struct workspace_status
{
    std::string workspace;
    double share = 1.0;
    double virtualTime = 0.0;
    double charged = 0.0;
    bool backlogged = false;

    bool operator==(const workspace_status &) const = default;
};

/**
 * Grants the capacity of one shard's targets to workspaces in fair order.
 *
 * The owner of the shard's current epoch has one such object. A ticket uses a slot of its target
 * from the grant until the router reports its end, reports a higher ticket without listing this
 * one, or sends no report for too long. A grant names the router's report that requested it and
 * expires a fixed time after the router sent that report, so that clocks need not be synchronised.
 */
class shard_scheduler
{
public:
    /** Creates the scheduler of a shard in one epoch, without targets and routers. */
    shard_scheduler(shard_scheduler_options options, const configuration_document &document);

    /** Sets the configuration in effect. */
    void setConfiguration(const configuration_document &document);
    /** Sets the targets of this shard to those in the VM list. */
    void setTargets(const std::vector<target_listing> &listings, absl::Time now);
    /**
     * Sets the shards of this service that are in use, including this one. Their order of
     * precedence depends on the workspace and is the same at every owner.
     */
    void setServiceShards(std::vector<std::string> shards);
    /** Sets the routers of the fleet to those in the VM list. */
    void setRouters(const std::set<std::string> &routers);
    /** Applies a load report of a target. */
    void onLoad(const std::string &target, const target_load &load, absl::Time now);
    /** Applies a router's report. Reports that are stale or out of order are ignored. */
    void onReport(const protocol::router_report &report, absl::Time now);
    /** Releases the tickets and the demand of routers whose timeout has expired. */
    void advance(absl::Time now);
    /** Grants free slots to pending requests in fair order. */
    std::vector<addressed_grant> grant(ownership_certainty certainty, absl::Time now);

    /**
     * Revokes grants that no report has listed for the revocation delay. A revocation is resent
     * after each such delay until a report lists the grant.
     */
    std::vector<addressed_revocation> revoke(absl::Time now);

    /** Returns the ledger changes to send, each with the name of the VM of its home. */
    std::vector<std::pair<std::string, ledger_change>>
    collectLedger(const std::function<std::string(const std::string &workspace)> &homeOf);
    /** Applies the answer of a home to a ledger change. */
    void onLedgerAnswer(const std::string &home, const ledger_answer &answer);
    /** Applies the incarnation in a home's heartbeat, which changes when the home restarts. */
    void onHomeIncarnation(const std::string &home, std::int64_t incarnation);
    /** Records that homes may have changed after a change of the members. */
    void onHomesChanged();

    /**
     * True if a router has reported a higher epoch, which means that this scheduler no longer owns
     * the shard.
     */
    bool isSuperseded() const { return m_superseded; }
    const shard_scheduler_options &options() const { return m_options; }
    std::vector<target_status> targetStatus(absl::Time now) const { return m_targets.status(now); }
    /** Returns the state of all workspaces of the configuration. */
    std::vector<workspace_status> workspaceStatus() const;

private:
    /** A granted slot and the request that uses it. */
    struct ticket_state
    {
        std::string router;
        std::string workspace;
        std::string target;
        std::string requestKind;
        double hint = 0.0;
        double charged = 0.0;
        bool running = false;
        absl::Time grantedAt = absl::InfinitePast();
        absl::Time revokedAt = absl::InfinitePast();
    };
    struct router_state
    {
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        absl::Time lastReport;
        /** The highest ticket of this epoch that the router has reported. */
        std::int64_t highestTicket = 0;
        /** True if a complete report of the router has covered this shard in this epoch. */
        bool complete = false;
    };
    using ticket_key = std::pair<std::int64_t, std::int64_t>;
    using ticket_map = std::map<ticket_key, ticket_state>;

    void applyUsage(const protocol::router_report &report, const protocol::shard_usage &usage,
                    absl::Time now);
    void applyRunning(const std::string &router, const protocol::running_ticket &running);
    void applyOutcome(const protocol::ticket_outcome &outcome, absl::Time now);
    void releaseUnlisted(const std::string &router, const protocol::shard_usage &usage);
    void releaseAll(const std::string &router, absl::Time now);
    void updateBacklog(const std::set<std::string> &workspaces);
    void recountUnreportedGrants(const std::string &router);
    void releaseTicket(ticket_map::iterator ticket, double finalCharge);
    void updateDispatchOffset(const std::string &workspace);
    void chargeWorkspace(const std::string &workspace, double amount);
    double estimate(const cost_features &features, double units) const;
    double finalCharge(const protocol::ticket_outcome &outcome) const;
    double weightOf(const std::string &requestKind) const;
    bool isComplete(absl::Time now) const;
    std::optional<std::string> nextWorkspace(const std::string &dataCentre, absl::Time now) const;
    addressed_grant issueGrant(const std::string &workspace, const target_listing &target,
                               absl::Time now);

    shard_scheduler_options m_options;
    fair_order m_order;
    cost_estimator m_estimator;
    ledger_writer m_ledger;
    demand_table m_demand;
    target_slots m_targets {{}};
    std::map<std::string, router_state> m_routers;
    std::set<std::string> m_expectedRouters;
    std::map<std::string, double> m_shares;
    std::vector<std::string> m_serviceShards;
    /** Moving average of the estimated cost that is charged for a grant, by workspace. */
    std::map<std::string, double> m_meanCharges;
    /** The data centres that are in use. */
    std::set<std::string> m_activeDataCentres;
    /** The allowed data centres of the workspaces that are restricted to some of them. */
    std::map<std::string, std::set<std::string>> m_allowedDataCentres;
    /** Workspaces whose totals have been requested, by home, and those with a received one. */
    std::map<std::string, std::set<std::string>> m_requestedTotals;
    std::set<std::string> m_receivedTotals;
    ticket_map m_tickets;
    std::int64_t m_lastTicket = 0;
    bool m_superseded = false;
};

} // namespace quetzal
