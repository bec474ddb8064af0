#include "configuration/administration/fleet_report.h"

#include "foundation/json/json_reader.h"

#include <algorithm>
#include <limits>

namespace quetzal {

namespace {

nlohmann::json listMember(const nlohmann::json &status, const char *name)
{
    const auto found = status.find(name);
    return found != status.end() && found->is_array() ? *found : nlohmann::json::array();
}

vm_state stateOf(std::int64_t revision, const node_status &status, std::int64_t routerRevision)
{
    if (status.configurationRevision >= revision && routerRevision >= revision)
        return vm_state::InForce;
    return status.stopping || !status.connected ? vm_state::Stopped : vm_state::Behind;
}

std::map<std::string, std::int64_t> highestRouterRevisions(const fleet_statuses &statuses)
{
    std::map<std::string, std::int64_t> result;
    for (const auto &[vm, status] : statuses) {
        if (!status)
            continue;
        for (const auto &[router, revision] : status->routerRevisions)
            result[router] = std::max(result[router], revision);
    }
    return result;
}

} // namespace

std::optional<node_status> readNodeStatus(std::string_view text)
{
    constexpr std::int64_t maxRevision = std::numeric_limits<std::int64_t>::max();
    const json_parse_result parsed = parseJsonWithComments(text);
    if (!parsed.document)
        return std::nullopt;
    std::vector<json_fault> faults;
    json_reader reader(*parsed.document, "", faults);
    node_status status;
    status.vm = reader.requiredString("vm");
    status.configurationRevision = reader.requiredInteger("configurationRevision", 0, maxRevision);
    status.connected = reader.optionalBoolean("connected", false);
    status.storeReachable = reader.optionalBoolean("storeReachable", false);
    status.stopping = reader.optionalBoolean("stopping", false);
    if (!faults.empty())
        return std::nullopt;
    if (reader.has("routerRevisions") && parsed.document->at("routerRevisions").is_object()) {
        for (const auto &router : parsed.document->at("routerRevisions").items()) {
            if (router.value().is_number_integer())
                status.routerRevisions[router.key()] = router.value().get<std::int64_t>();
        }
    }
    status.owned = listMember(*parsed.document, "owned");
    status.targets = listMember(*parsed.document, "targets");
    status.fairness = listMember(*parsed.document, "fairness");
    return status;
}

std::string toText(vm_state state)
{
    switch (state) {
    case vm_state::InForce:
        return "inForce";
    case vm_state::Behind:
        return "behind";
    case vm_state::Stopped:
        return "stopped";
    case vm_state::Unresponsive:
        return "unheard";
    }
    return "unknown";
}

bool fleet_report::isSettled() const
{
    return std::all_of(vms.begin(), vms.end(), [](const vm_report &vm) {
        return vm.state == vm_state::InForce || vm.state == vm_state::Stopped;
    });
}

std::vector<std::string> fleet_report::vmsInState(vm_state state) const
{
    std::vector<std::string> result;
    for (const vm_report &vm : vms) {
        if (vm.state == state)
            result.push_back(vm.vm);
    }
    return result;
}

fleet_report makeFleetReport(std::int64_t revision, const fleet_statuses &statuses)
{
    const auto routerRevisions = highestRouterRevisions(statuses);
    fleet_report report {.revision = revision, .vms = {}};
    for (const auto &[vm, status] : statuses) {
        const auto router = routerRevisions.find(vm);
        vm_report entry {.vm = vm};
        entry.routerRevision = router == routerRevisions.end() ? 0 : router->second;
        if (status) {
            entry.schedulerRevision = status->configurationRevision;
            entry.state = stateOf(revision, *status, entry.routerRevision);
        }
        report.vms.push_back(entry);
    }
    return report;
}

nlohmann::json toJson(const fleet_report &report)
{
    return {{"revision", report.revision},
            {"settled", report.isSettled()},
            {"inForce", report.vmsInState(vm_state::InForce)},
            {"behind", report.vmsInState(vm_state::Behind)},
            {"stopped", report.vmsInState(vm_state::Stopped)},
            {"unheard", report.vmsInState(vm_state::Unresponsive)}};
}

std::vector<service_gap> computeServiceGaps(const fleet_statuses &statuses)
{
    std::map<std::string, std::map<std::string, double>> virtualTimes;
    for (const auto &[vm, status] : statuses) {
        if (!status)
            continue;
        for (const nlohmann::json &entry : status->fairness) {
            if (!entry.is_object() || entry.value("backlogged", nlohmann::json()) != true)
                continue;
            const auto service = entry.find("service");
            const auto workspace = entry.find("workspace");
            const auto time = entry.find("virtualTime");
            if (service == entry.end() || !service->is_string() || workspace == entry.end()
                || !workspace->is_string() || time == entry.end() || !time->is_number())
                continue;
            double &highest = virtualTimes[*service][*workspace];
            highest = std::max(highest, time->get<double>());
        }
    }
    std::vector<service_gap> gaps;
    for (const auto &[service, workspaces] : virtualTimes) {
        const auto byTime = [](const auto &left, const auto &right) {
            return left.second < right.second;
        };
        const auto [leastServed, mostServed]
            = std::minmax_element(workspaces.begin(), workspaces.end(), byTime);
        gaps.push_back({service, static_cast<int>(workspaces.size()),
                        mostServed->second - leastServed->second});
    }
    return gaps;
}

} // namespace quetzal
