#include "configuration/administration/administration_api.h"

namespace quetzal {

namespace {

/** Concatenates one list of all scheduler statuses and adds the scheduler's VM to each entry. */
nlohmann::json collectEntries(const fleet_statuses &statuses, nlohmann::json node_status::*list)
{
    nlohmann::json result = nlohmann::json::array();
    for (const auto &[vm, status] : statuses) {
        if (!status)
            continue;
        for (nlohmann::json entry : (*status).*list) {
            if (!entry.is_object())
                continue;
            entry["vm"] = vm;
            result.push_back(std::move(entry));
        }
    }
    return result;
}

std::int64_t highestRevision(const stored_configuration &stored, const fleet_statuses &statuses)
{
    std::int64_t revision = stored.revision;
    for (const auto &[vm, status] : statuses) {
        if (status)
            revision = std::max(revision, status->configurationRevision);
    }
    return revision;
}

nlohmann::json listVms(const fleet_report &report, const fleet_statuses &statuses)
{
    nlohmann::json vms = nlohmann::json::array();
    for (const vm_report &vm : report.vms) {
        const std::optional<node_status> &status = statuses.at(vm.vm);
        vms.push_back({{"vm", vm.vm},
                       {"state", toText(vm.state)},
                       {"schedulerRevision", vm.schedulerRevision},
                       {"routerRevision", vm.routerRevision},
                       {"connected", status && status->connected},
                       {"storeReachable", status && status->storeReachable},
                       {"stopping", status && status->stopping}});
    }
    return vms;
}

} // namespace

nlohmann::json makeStatusBody(const stored_configuration &stored, const fleet_statuses &statuses)
{
    const fleet_report report = makeFleetReport(highestRevision(stored, statuses), statuses);
    nlohmann::json gaps = nlohmann::json::array();
    for (const service_gap &gap : computeServiceGaps(statuses))
        gaps.push_back({{"service", gap.service},
                        {"backloggedWorkspaces", gap.backloggedWorkspaces},
                        {"gap", gap.gap}});
    nlohmann::json dataCentres = nlohmann::json::array();
    for (const data_centre_definition &item : stored.document.dataCentres) {
        const bool in = item.state == data_centre_state::In;
        dataCentres.push_back({{"name", item.name}, {"state", in ? "in" : "out"}});
    }
    return {{"revision", report.revision},
            {"digest", stored.digest},
            {"storeReachable", stored.code != result_code::StoreUnavailable},
            {"storeCode", static_cast<int>(stored.code)},
            {"dataCentres", dataCentres},
            {"fleet", toJson(report)},
            {"vms", listVms(report, statuses)},
            {"shards", collectEntries(statuses, &node_status::owned)},
            {"targets", collectEntries(statuses, &node_status::targets)},
            {"gaps", gaps}};
}

nlohmann::json toJson(const workspace_definition &workspace)
{
    return {{"name", workspace.name},
            {"share", workspace.share},
            {"keyDigests", workspace.keyDigests},
            {"services", workspace.services},
            {"dataCentres", workspace.dataCentres},
            {"limits",
             {{"waitingRequests", workspace.limits.waitingRequests},
              {"bufferedBytes", workspace.limits.bufferedBytes}}}};
}

std::vector<std::string> findChangedDataCentres(const configuration_document &before,
                                                const configuration_document &after)
{
    std::vector<std::string> changed;
    for (const data_centre_definition &old : before.dataCentres) {
        const data_centre_definition *found = after.findDataCentre(old.name);
        if (found != nullptr && found->state != old.state)
            changed.push_back(old.name);
    }
    return changed;
}

} // namespace quetzal
