#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** The status that the scheduler of one VM returned for GET /v1/status. */
struct node_status
{
    std::string vm;
    /** Active revision of the scheduler. */
    std::int64_t configurationRevision = 0;
    /** False if the VM accepts no new work because it cannot determine the configuration. */
    bool connected = false;
    bool storeReachable = false;
    bool stopping = false;
    /** Active revision of each router that reports to this scheduler, by VM. */
    std::map<std::string, std::int64_t> routerRevisions;
    /** The owned shards, their targets and workspaces as the scheduler reported them. */
    nlohmann::json owned = nlohmann::json::array();
    nlohmann::json targets = nlohmann::json::array();
    nlohmann::json fairness = nlohmann::json::array();

    bool operator==(const node_status &) const = default;
};

/** Parses the status of a scheduler; std::nullopt if the text is malformed. */
std::optional<node_status> readNodeStatus(std::string_view text);

/** The progress of one VM in adopting a revision. */
enum class vm_state
{
    /** Both scheduler and router have activated the revision or a later one. */
    InForce,
    /** The scheduler answers, but it or the router still has an earlier revision. */
    Behind,
    /** Accepts no new work: it is shutting down or disconnected from the store and its peers. */
    Stopped,
    /** The scheduler does not answer. */
    Unresponsive,
};

/** Returns the name that JSON and tables use, such as "inForce". */
std::string toText(vm_state state);

/** The state and revisions of one VM in a fleet_report. */
struct vm_report
{
    std::string vm;
    vm_state state = vm_state::Unresponsive;
    std::int64_t schedulerRevision = 0;
    /** 0 if no scheduler receives reports from the router of the VM. */
    std::int64_t routerRevision = 0;

    bool operator==(const vm_report &) const = default;
};

/** The progress of all VMs in adopting a revision. */
struct fleet_report
{
    std::int64_t revision = 0;
    std::vector<vm_report> vms;

    bool operator==(const fleet_report &) const = default;

    /** True if every VM has activated the revision or accepts no new work. */
    bool isSettled() const;
    /** Returns the names of the VMs in the given state. */
    std::vector<std::string> vmsInState(vm_state state) const;
};

/** The status of each VM of the fleet by name; std::nullopt for a VM that did not answer. */
using fleet_statuses = std::map<std::string, std::optional<node_status>>;

/** Determines the progress of the fleet in adopting a revision. */
fleet_report makeFleetReport(std::int64_t revision, const fleet_statuses &statuses);

/** Returns the names of the VMs by state, as included in the answer to a change. */
nlohmann::json toJson(const fleet_report &report);

/** The largest difference in virtual time between two backlogged workspaces of one service. */
struct service_gap
{
    std::string service;
    int backloggedWorkspaces = 0;
    double gap = 0.0;

    bool operator==(const service_gap &) const = default;
};

/**
 * Computes the gap of each service over all shards. If several entries report the same workspace,
 * the highest virtual time counts.
 */
std::vector<service_gap> computeServiceGaps(const fleet_statuses &statuses);

} // namespace quetzal
