#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** What the scheduler of one VM answered to GET /v1/status. */
struct node_status
{
    std::string vm;
    std::int64_t configurationRevision = 0;
    /** False when the VM has stopped taking new work because it cannot know the configuration. */
    bool connected = false;
    bool storeReachable = false;
    bool stopping = false;
    /** Revision in force at each router that reports to this scheduler, by VM. */
    std::map<std::string, std::int64_t> routerRevisions;
    /** Owned shards, their targets and workspaces as the scheduler wrote them. */
    nlohmann::json owned = nlohmann::json::array();
    nlohmann::json targets = nlohmann::json::array();
    nlohmann::json fairness = nlohmann::json::array();

    bool operator==(const node_status &) const = default;
};

/** Reads a scheduler's status; nothing when the text is not one. */
std::optional<node_status> readNodeStatus(std::string_view text);

/** How far one VM has come with a revision. */
enum class vm_state
{
    /** Scheduler and router have the revision, or a later one, in force. */
    InForce,
    /** Heard of, with an earlier revision at its scheduler or router. */
    Behind,
    /** It takes no new work: it is shutting down or cut off from store and peers. */
    Stopped,
    /** Its scheduler does not answer. */
    Unheard,
};

/** The name in JSON and tables, such as "inForce". */
std::string toText(vm_state state);

/** One VM in a fleet_report. */
struct vm_report
{
    std::string vm;
    vm_state state = vm_state::Unheard;
    std::int64_t schedulerRevision = 0;
    /** 0 when no scheduler hears of the VM's router. */
    std::int64_t routerRevision = 0;

    bool operator==(const vm_report &) const = default;
};

/** Which VMs have a revision in force. */
struct fleet_report
{
    std::int64_t revision = 0;
    std::vector<vm_report> vms;

    bool operator==(const fleet_report &) const = default;

    /** True when each VM has the revision in force or has stopped taking new work. */
    bool isSettled() const;
    /** The VMs in a state. */
    std::vector<std::string> vmsInState(vm_state state) const;
};

/** The status that each VM of the fleet gave; nothing for one that did not answer. */
using fleet_statuses = std::map<std::string, std::optional<node_status>>;

/** How far the fleet has come with a revision. */
fleet_report makeFleetReport(std::int64_t revision, const fleet_statuses &statuses);

/** Names of VMs by state, as in the answer to a change. */
nlohmann::json toJson(const fleet_report &report);

/** Widest difference of virtual time between two backlogged workspaces of one service. */
struct service_gap
{
    std::string service;
    int backloggedWorkspaces = 0;
    double gap = 0.0;

    bool operator==(const service_gap &) const = default;
};

/** The gap of each service over all shards. */
std::vector<service_gap> computeServiceGaps(const fleet_statuses &statuses);

} // namespace quetzal
