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

/** How far the simulated time goes in one step. */
inline constexpr absl::Duration fleetStepLength = absl::Milliseconds(10);
/** Units that a request produces each second. */
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
    /** Requests that each workspace keeps waiting at each router that it uses. */
    int backlog = 6;
    /** True: requests may run once only. */
    bool idempotent = true;
    /** Counted in answered requests instead of tokens. */
    bool answeredRequests = false;
    /** Factor by which the first workspace's hints are too low. */
    double hintFactor = 1.0;
    absl::Duration messageDelay = absl::Milliseconds(2);
    absl::Duration deadline = absl::Seconds(30);
    std::uint64_t seed = 1;
};

/** What a caller was told. */
struct caller_result
{
    result_code code = result_code::Ok;
    execution_state execution = execution_state::Run;

    bool operator==(const caller_result &) const = default;
};

/** Everything known of one request of the test. */
struct request_record
{
    std::string workspace;
    std::string router;
    absl::Time submittedAt;
    double cost = 0.0;
    bool idempotent = true;
    int executions = 0;
    int wholeExecutions = 0;
    std::optional<caller_result> callerResult;
    /** The router that held it was killed, so its caller's connection is cut. */
    bool disconnected = false;
};

/**
 * A handful of routers, schedulers, targets and a store in one thread and simulated time, joined
 * by a queue of messages that can delay, lose, repeat and reorder.
 *
 * It is a harness for tests of failures, not a simulator of clusters.
 */
class fleet_model
{
public:
    explicit fleet_model(fleet_options options);

    /** Runs for a time, keeping the backlog up while generating is on. */
    void run(absl::Duration duration);
    void setGenerating(bool generating) { m_generating = generating; }
    /** Keeps workspace backlogs only at these routers; empty for all. */
    void setLoadedRouters(std::set<int> routers) { m_loadedRouters = std::move(routers); }

    void killRouter(int vm);
    void startRouter(int vm);
    void killScheduler(int vm);
    void startScheduler(int vm);
    /** Stops a process for a while; nothing reaches it and it does nothing. */
    void pauseRouter(int vm, bool paused);
    void pauseScheduler(int vm, bool paused);
    void stopSchedulerGracefully(int vm);
    void stopRouterGracefully(int vm);
    /** VMs in the group can't exchange messages with the others; the store stays reachable. */
    void partition(std::set<int> group) { m_partitionGroup = std::move(group); }
    void setStoreDown(bool down) { m_storeDown = down; }
    void setStoreDisconnected(int vm, bool disconnected);
    void loseStoreAnswers(int count) { m_loseStoreAnswers = count; }
    /** Probabilities of loss and repetition and the longest additional delay of messages. */
    void setNetwork(double loss, double repetition, absl::Duration jitter);
    void killTarget(int target);
    void restartTarget(int target);
    void setTargetLeaving(int target, bool leaving) { m_targets[target].setLeaving(leaving); }
    /** The next executions of the target run and lose their answer. */
    void loseAnswers(int target, int count) { m_lostAnswers[target] = count; }
    /** The VM list stops changing while frozen. */
    void freezeVmList(bool frozen) { m_vmListFrozen = frozen; }
    /** Accepts a configuration with these data centres taken out; false when the store is down. */
    bool setDataCentresOut(std::set<int> dataCentres);
    /** Ends every fault and starts every process that is down. */
    void heal();

    absl::Time now() const { return m_now; }
    const std::map<std::int64_t, request_record> &requests() const { return m_requests; }
    const std::vector<fake_target> &targets() const { return m_targets; }
    scheduler_node *scheduler(int vm) { return m_schedulers[vm].node.get(); }
    router_node *router(int vm) { return m_routers[vm].node.get(); }
    int targetCount() const { return static_cast<int>(m_targets.size()); }
    /** Units that each workspace has been served so far, whole and partial. */
    std::map<std::string, double> served() const;
    /** The widest gap of streamed (or, for answered requests, dispatched) service since the last
     * reset, in largest weighted requests. */
    double gap() const;
    void resetGap() { m_gap = {}; }
    /** Attempts at targets of a data centre since a time. */
    int attemptsSince(int dataCentre, absl::Time since) const;
    /** Revisions in force at the running routers; 0 for one that stopped itself. */
    std::vector<std::int64_t> revisions() const;
    std::int64_t acceptedRevision() const { return m_revision; }

    /** Longest time that a target had a free slot beside waiting work since the last reset. */
    absl::Duration longestIdle() const { return m_longestIdle; }
    void resetIdle();
    /** Messages put into the network so far. */
    std::int64_t messages() const { return m_messages; }
    /** Bytes put into the network so far by each type of message, framing included. */
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
    double m_repetition = 0.0;
    absl::Duration m_jitter;
    std::int64_t m_revision = 0;
    std::int64_t m_lastRequest = 0;
    std::map<std::int64_t, request_record> m_requests;
    /** The request of the test behind a router's local id. */
    std::map<std::pair<std::string, request_id>, std::int64_t> m_localRequests;
    std::map<std::pair<int, std::string>, int> m_waiting;
    std::vector<std::pair<absl::Time, int>> m_stepCounts;
    /** Since when each target has had a free slot beside waiting work. */
    std::map<int, absl::Time> m_idleSince;
    absl::Duration m_longestIdle;
    gap_meter m_gap;
    std::map<std::string, double> m_served;
    absl::Time m_lastGap = absl::InfinitePast();
    absl::Time m_lastView = absl::InfinitePast();
    absl::Time m_lastLoads = absl::InfinitePast();
    absl::Time m_lastList = absl::InfinitePast();
};

} // namespace quetzal
