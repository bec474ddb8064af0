#pragma once

#include "bench/load/gap_meter.h"
#include "fleet/fake_target.h"
#include "foundation/random/random_source.h"
#include "ownership/fake_store.h"
#include "routing/node/router_node.h"
#include "scheduling/node/scheduler_node.h"

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

/** Length of one step of simulated time. */
inline constexpr absl::Duration fleetStepLength = absl::Milliseconds(10);
/** Units that a running request produces per second. */
inline constexpr double fleetUnitsPerSecond = 100.0;
/** Store key prefix of the environment under test. */
inline constexpr char fleetKeyPrefix[] = "/quetzal/test";

/** Size and behaviour of a fleet_model. */
struct fleet_options
{
    int vms = 3;
    int dataCentres = 2;
    int targetsPerDataCentre = 2;
    int slotsPerTarget = 4;
    int coldSlots = 1;
    std::vector<double> shares {4.0, 2.0, 1.0};
    /** Number of requests that each workspace keeps pending at each loaded router. */
    int backlog = 6;
    /** True if requests may run more than once. */
    bool idempotent = true;
    /** True to count service in answered requests instead of tokens. */
    bool answeredRequests = false;
    /** Ratio of the first workspace's hints to the actual costs. */
    double hintFactor = 1.0;
    absl::Duration messageDelay = absl::Milliseconds(2);
    absl::Duration deadline = absl::Seconds(30);
    std::uint64_t seed = 1;
};

/** The result that a caller received. */
struct caller_result
{
    result_code code = result_code::Ok;
    execution_state execution = execution_state::Run;

    bool operator==(const caller_result &) const = default;
};

/** The state of one request of the test. */
struct request_record
{
    std::string workspace;
    std::string router;
    absl::Time submittedAt;
    double cost = 0.0;
    bool idempotent = true;
    int executions = 0;
    int completeExecutions = 0;
    std::optional<caller_result> callerResult;
    /** True if its router was killed, so that the caller was disconnected. */
    bool disconnected = false;
};

/**
 * A few routers, schedulers and targets and a store, in one thread and simulated time, connected
 * by a message queue that can delay, drop, duplicate and reorder.
 *
 * This is a harness for tests of faults, not a simulator of clusters.
 */
class fleet_model
{
public:
    /** Creates a fleet with an accepted configuration and all processes started. */
    explicit fleet_model(fleet_options options);

    /** Runs for a simulated time, and submits requests to keep up the backlog if enabled. */
    void run(absl::Duration duration);
    /** Enables or disables the submission of requests. */
    void setGenerating(bool generating) { m_generating = generating; }
    /** Limits the submission of requests to these routers; an empty set stands for all routers. */
    void setLoadedRouters(std::set<int> routers) { m_loadedRouters = std::move(routers); }

    /** Ends a router without a shutdown and disconnects its callers. */
    void killRouter(int vm);
    void startRouter(int vm);
    /** Ends a scheduler without a shutdown. */
    void killScheduler(int vm);
    void startScheduler(int vm);
    /** Suspends or resumes a process. A suspended process does nothing and receives no messages. */
    void pauseRouter(int vm, bool paused);
    void pauseScheduler(int vm, bool paused);
    void stopSchedulerGracefully(int vm);
    void stopRouterGracefully(int vm);
    /** Partitions the VMs of the group from the other VMs; the store remains reachable. */
    void partition(std::set<int> group) { m_partitionGroup = std::move(group); }
    void setStoreDown(bool down) { m_storeDown = down; }
    /** Disconnects the scheduler of one VM from the store, or connects it again. */
    void setStoreDisconnected(int vm, bool disconnected);
    /** Makes the store perform the next requests and lose their replies. */
    void loseStoreAnswers(int count) { m_loseStoreAnswers = count; }
    /** Sets the probabilities of message loss and duplication, and the maximum extra delay. */
    void setNetwork(double loss, double duplication, absl::Duration jitter);
    void killTarget(int target);
    void restartTarget(int target);
    void setTargetDraining(int target, bool draining) { m_targets[target].setDraining(draining); }
    /** Makes the next executions of the target run to completion and lose their answer. */
    void loseAnswers(int target, int count) { m_lostAnswers[target] = count; }
    /** Stops or resumes the updates of the VM list. */
    void freezeVmList(bool frozen) { m_vmListFrozen = frozen; }
    /**
     * Writes a configuration in which exactly these data centres are out of use. Returns false if
     * the store is down.
     */
    bool setDataCentresOut(std::set<int> dataCentres);
    /** Ends every fault and starts every process that is not running. */
    void heal();

    absl::Time now() const { return m_now; }
    const std::map<std::int64_t, request_record> &requests() const { return m_requests; }
    const std::vector<fake_target> &targets() const { return m_targets; }
    scheduler_node *scheduler(int vm) { return m_schedulers[vm].node.get(); }
    router_node *router(int vm) { return m_routers[vm].node.get(); }
    int targetCount() const { return static_cast<int>(m_targets.size()); }
    /**
     * Returns the service that each workspace has received so far: the units of its completed
     * requests or, for answered requests, the number of its started ones.
     */
    std::map<std::string, double> served() const;
    /**
     * Returns the widest gap of streamed (or, for answered requests, started) service since the
     * last reset, in units of the largest weighted request.
     */
    double gap() const;
    void resetGap() { m_gap = {}; }
    /** Returns the number of attempts at the targets of a data centre since a time. */
    int attemptsSince(int dataCentre, absl::Time since) const;
    /**
     * Returns the configuration revisions in effect at the running routers; 0 for a router that is
     * isolated and accepts no requests.
     */
    std::vector<std::int64_t> revisions() const;
    std::int64_t acceptedRevision() const { return m_revision; }

    /**
     * Returns the longest time since the last reset for which a target had a free slot while
     * requests were pending.
     */
    absl::Duration longestIdle() const { return m_longestIdle; }
    void resetIdle();
    /** Returns the number of messages sent so far. */
    std::int64_t messages() const { return m_messages; }
    /** Returns the bytes sent so far, including framing, by the index of the message type. */
    const std::map<std::size_t, std::int64_t> &bytesByType() const { return m_bytes; }
    std::string workspaceName(int index) const { return "workspace-" + std::to_string(index); }
    std::string dataCentreName(int index) const { return "dc-" + std::to_string(index); }

private:
    template <typename Node>
    struct process
    {
        std::unique_ptr<Node> node;
        bool paused = false;
        bool stopping = false;
        std::int64_t starts = 0;
    };
    struct packet
    {
        node_id from;
        node_id to;
        std::int64_t fromStart = 0;
        message content;
    };
    struct timed_call
    {
        absl::Time at;
        std::int64_t order = 0;
        std::function<void()> call;
    };

    static std::string vmName(int vm) { return "vm-" + std::to_string(vm); }
    static int vmIndex(const std::string &vm);
    std::string routerKey(int vm) const;
    std::string documentText() const;
    void writeConfiguration();
    void step();
    void at(absl::Time when, std::function<void()> call);
    void sendMessage(const node_id &from, const outgoing_message &outgoing);
    void deliver(const packet &content);
    bool isPartitioned(int left, int right) const;
    void takeRouterActions(int vm);
    void takeSchedulerActions(int vm);
    void sendStoreRequest(int vm, const store_request &request);
    void pushStoreViews();
    void pushVmList();
    void pushLoads();
    void generate();
    void submit(int vm, int workspace);
    void dispatch(int vm, const dispatch_request &dispatch);
    void beginExecution(int vm, std::int64_t start, const dispatch_request &dispatch,
                        std::int64_t request);
    void endAttempt(int vm, std::int64_t start, request_id request, const attempt_result &result);
    void loseExecutions(const std::vector<execution> &lost);
    void finishExecutions();
    void measureIdle();
    void measureGap();

    fleet_options m_options;
    random_source m_random;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
    fake_store m_store;
    std::int64_t m_pushedStoreRevision = 0;
    std::vector<process<router_node>> m_routers;
    std::vector<process<scheduler_node>> m_schedulers;
    std::vector<fake_target> m_targets;
    std::vector<timed_call> m_queue;
    std::int64_t m_order = 0;
    std::int64_t m_messages = 0;
    std::map<std::size_t, std::int64_t> m_bytes;
    std::set<int> m_partitionGroup;
    std::set<int> m_storeDisconnectedVms;
    std::set<int> m_outDataCentres;
    std::set<int> m_loadedRouters;
    std::map<int, int> m_lostAnswers;
    bool m_storeDown = false;
    bool m_vmListFrozen = false;
    bool m_generating = true;
    int m_loseStoreAnswers = 0;
    double m_loss = 0.0;
    double m_duplicationProbability = 0.0;
    absl::Duration m_jitter;
    std::int64_t m_revision = 0;
    std::int64_t m_lastRequest = 0;
    std::map<std::int64_t, request_record> m_requests;
    /** The request numbers by router and local request id. */
    std::map<std::pair<std::string, request_id>, std::int64_t> m_localRequests;
    std::map<std::pair<int, std::string>, int> m_waiting;
    std::vector<std::pair<absl::Time, int>> m_stepCounts;
    /** When each target last began to have a free slot while requests were pending. */
    std::map<int, absl::Time> m_idleSince;
    absl::Duration m_longestIdle;
    gap_meter m_gap;
    std::map<std::string, double> m_served;
    absl::Time m_lastGapAt = absl::InfinitePast();
    absl::Time m_lastViewAt = absl::InfinitePast();
    absl::Time m_lastLoadsAt = absl::InfinitePast();
    absl::Time m_lastListAt = absl::InfinitePast();
};

} // namespace quetzal
