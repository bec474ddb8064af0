#include "scheduling/node/scheduler_status.h"

#include <nlohmann/json.hpp>

namespace quetzal {

namespace {

const char *nameOf(ownership_certainty certainty)
{
    switch (certainty) {
    case ownership_certainty::Certain:
        return "certain";
    case ownership_certainty::Uncertain:
        return "inDoubt";
    case ownership_certainty::Succeeding:
        return "succeeding";
    case ownership_certainty::SucceedingUncertain:
        return "succeedingInDoubt";
    }
    return "unknown";
}

const char *nameOf(target_phase phase)
{
    switch (phase) {
    case target_phase::Unknown:
        return "unknown";
    case target_phase::Warming:
        return "warming";
    case target_phase::Warm:
        return "warm";
    case target_phase::Draining:
        return "leaving";
    case target_phase::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace

std::string toJson(const scheduler_status &status)
{
    nlohmann::json owned = nlohmann::json::array();
    nlohmann::json targets = nlohmann::json::array();
    nlohmann::json fairness = nlohmann::json::array();
    for (const shard_status &shard : status.owned) {
        owned.push_back({{"shard", shard.shard},
                         {"service", shard.service},
                         {"dataCentre", shard.dataCentre},
                         {"epoch", shard.epoch},
                         {"certainty", nameOf(shard.certainty)}});
        for (const target_status &target : shard.targets)
            targets.push_back({{"target", target.target},
                               {"shard", shard.shard},
                               {"phase", nameOf(target.phase)},
                               {"limit", target.limit},
                               {"inUse", target.inUse}});
        for (const workspace_status &workspace : shard.workspaces)
            fairness.push_back({{"service", shard.service},
                                {"shard", shard.shard},
                                {"workspace", workspace.workspace},
                                {"share", workspace.share},
                                {"virtualTime", workspace.virtualTime},
                                {"charged", workspace.charged},
                                {"backlogged", workspace.backlogged}});
    }
    return nlohmann::json {{"vm", status.vm},
                           {"incarnation", status.incarnation},
                           {"configurationRevision", status.configurationRevision},
                           {"connected", status.connected},
                           {"storeReachable", status.storeReachable},
                           {"stopping", status.stopping},
                           {"routerRevisions", status.routerRevisions},
                           {"owned", owned},
                           {"targets", targets},
                           {"fairness", fairness}}
        .dump();
}

} // namespace quetzal
