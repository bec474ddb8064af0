#pragma once

#include "configuration/revision/configuration_follower.h"
#include "protocol/messages/outgoing_message.h"
#include "routing/node/shard_tickets.h"
#include "routing/queue/waiting_queues.h"
#include "routing/request/request_types.h"
#include "routing/request/retry_budget.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** Options of router_node. */
struct router_node_options
{
    std::string vm;
    /** Identifies this start of the process; differs at each start. */
    std::int64_t incarnation = 0;
    /** Maximum number of waiting requests of all workspaces together. */
    int maxWaitingRequests = 4000;
    /** Maximum number of attempts for one request. */
    int maxAttempts = 6;
    /** Interval between two complete reports to a shard owner. */
    absl::Duration completeInterval = absl::Seconds(1);
    /** Interval between two reports to the scheduler that provides the fleet view. */
    absl::Duration heartbeatInterval = absl::Milliseconds(500);
    /** Minimum interval between two reports to the same owner. */
    absl::Duration minReportInterval = absl::Milliseconds(20);
    /** Time without contact to a connected scheduler after which requests are rejected. */
    absl::Duration isolationTimeout = absl::Milliseconds(1500);
    /** Time without a fleet view after which the router tries another scheduler. */
    absl::Duration homeTimeout = absl::Milliseconds(800);
    /** Time to wait for a scheduler's fleet view before requesting it from the next scheduler. */
    absl::Duration homeTryInterval = absl::Milliseconds(200);
};

/** The state that the router's health check and status page show. */
struct router_status
{
    std::int64_t configurationRevision = 0;
    bool isolated = false;
    bool stopping = false;
    int waiting = 0;
    int running = 0;

    bool operator==(const router_status &) const = default;
};

/**
 * Makes all decisions of one router: which requests wait, where they are sent, which are rejected.
 *
 * Every request is waiting, running (a grant was used for it) or finished. The router process
 * submits requests, carries out the actions that takeActions() returns and reports the result of
 * each attempt.
 */
class router_node
{
public:
    explicit router_node(router_node_options options);

    /** Sets the VMs of the schedulers named by the VM list, in order of preference. */
    void setSchedulers(std::vector<std::string> vms);
    /** Queues a new request or rejects it. */
    void submit(const request_description &request, absl::Time now);
    /** Records the units that the running attempt of a request has streamed so far. */
    void onProgress(request_id request, double units);
    /** Processes the end of the running attempt of a request. */
    void onAttemptEnded(request_id request, const attempt_result &result, absl::Time now);
    /** Cancels the request of a caller that closed its connection. */
    void onCallerDisconnected(request_id request, absl::Time now);
    /** Processes a scheduler's message: grants, a fleet view or a configuration. */
    void onMessage(const node_id &from, const message &content, absl::Time now);
    /** Starts the shutdown: rejects new requests; running and waiting ones finish. */
    void beginStop(absl::Time now);
    /** Performs all pending work; must be called at least every 10 ms and after each event. */
    void advance(absl::Time now);

    /** Returns the actions decided since the last call. */
    std::vector<router_action> takeActions();

    /** True if no connected scheduler was in contact, so the active configuration is unknown. */
    bool isIsolated(absl::Time now) const;
    /** True after beginStop() once nothing is waiting, running or left to report. */
    bool isFinished() const;
    router_status status(absl::Time now) const;
    /** Returns the active configuration, or null before the first one was received. */
    std::shared_ptr<const configuration_snapshot> configuration() const
    {
        return m_follower.current();
    }
    std::int64_t configurationRevision() const { return m_follower.revision(); }

private:
    struct running_request
    {
        request_description request;
        ticket_reference ticket;
        std::int64_t attempts = 0;
        bool cancelled = false;
    };
    struct owner_state
    {
        absl::Time lastReport = absl::InfinitePast();
        absl::Time lastCompleteReport = absl::InfinitePast();
        bool reportDue = false;
        bool completeReportDue = false;
        /** The queues as last reported to the owner, by service and workspace. */
        std::map<std::string, std::map<std::string, queue_summary>> reportedQueues;
    };
    struct known_shard
    {
        std::string service;
        std::string owner;
        std::int64_t epoch = 0;
    };

    void onGrants(const node_id &from, const protocol::grant_batch &batch, absl::Time now);
    void onGrant(const protocol::grant &content, absl::Time now);
    void onFleetView(const protocol::fleet_view &view, absl::Time now);
    void observeOwner(const protocol::shard_owner &owner);
    bool isGrantUsable(const protocol::grant &content, absl::Time now) const;
    void dispatch(const protocol::grant &content, const request_description &request);
    void finish(const request_description &request, result_code code, execution_state execution);
    void settleAttempt(const running_request &running, const attempt_result &result,
                       absl::Time now);
    void retryOrFinish(const running_request &running, result_code code, bool costsBudget,
                       absl::Time now);
    void rejectExpired(absl::Time now);
    void rejectWhileIsolated(absl::Time now);
    void sendReports(absl::Time now);
    protocol::router_report makeReport(const std::string &owner, bool complete, bool wantsView,
                                       absl::Time now);
    protocol::service_demand makeDemand(const std::string &service, owner_state &state,
                                        bool complete);
    void markReportsDue(const std::string &service);
    void markOwnerReportDue(const std::string &shard);
    /** True if a shard of the owner has tickets, or its service has waiting requests. */
    bool hasOutstandingWorkWith(const std::string &owner) const;
    /** Returns the scheduler to request fleet views from; tries the next one after a timeout. */
    std::string homeScheduler(absl::Time now);
    shard_tickets &ticketsOf(const std::string &shard);
    queue_limits limitsOf(const std::string &workspace) const;

    router_node_options m_options;
    waiting_queues m_waiting;
    retry_budget m_retries;
    absl::flat_hash_map<request_id, running_request> m_running;
    absl::flat_hash_map<request_id, std::int64_t> m_attempts;
    /** Requests that may have run, because an earlier attempt was sent and its answer lost. */
    absl::flat_hash_set<request_id> m_mayHaveRun;
    std::map<std::string, shard_tickets> m_tickets;
    std::map<std::string, known_shard> m_shards;
    std::map<std::string, owner_state> m_owners;
    std::vector<std::string> m_schedulers;
    std::size_t m_homeIndex = 0;
    absl::Time m_homeSince = absl::InfinitePast();
    absl::Time m_lastConnectedView = absl::InfinitePast();
    absl::Time m_lastView = absl::InfinitePast();
    std::int64_t m_sequence = 0;
    std::deque<std::pair<std::int64_t, absl::Time>> m_sentReports;
    configuration_follower m_follower {{}};
    bool m_stopping = false;
    std::vector<router_action> m_actions;
};

} // namespace quetzal
