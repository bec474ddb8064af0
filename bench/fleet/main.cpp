#include "configuration/document/document_reader.h"
#include "fleet/fleet_model.h"
#include "foundation/hashing/stable_hash.h"
#include "scheduling/shard/shard_scheduler.h"

#include <absl/strings/str_format.h>

#include <chrono>
#include <cstdio>

namespace quetzal {

namespace {

/** Names of the message types, indexed by the keys of fleet_model::bytesByType(). */
constexpr const char *messageNames[]
    = {"router_report",        "grant_batch",  "fleet_view",   "configuration_request",
       "configuration_update", "heartbeat",    "ledger_delta", "ledger_totals",
       "renewal_request",      "renewal_reply"};

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/**
 * Prints the control bytes per second that a VM sends in a fleet of the given size, in total and by
 * message type.
 */
void printTraffic(int vms)
{
    constexpr int seconds = 20;
    fleet_model fleet({.vms = vms,
                       .dataCentres = 2,
                       .targetsPerDataCentre = vms,
                       .slotsPerTarget = 4,
                       .shares = {4.0, 3.0, 2.0, 1.0},
                       .backlog = 4,
                       .deadline = absl::Minutes(10)});
    fleet.run(absl::Seconds(20));
    const auto before = fleet.bytesByType();
    const std::size_t requestsBefore = fleet.requests().size();
    const auto start = std::chrono::steady_clock::now();
    fleet.run(absl::Seconds(seconds));
    const double wallSeconds = secondsSince(start);
    const double requests = static_cast<double>(fleet.requests().size() - requestsBefore);
    double total = 0.0;
    std::string parts;
    for (const auto &[type, bytes] : fleet.bytesByType()) {
        const auto earlier = before.find(type);
        const std::int64_t base = earlier == before.end() ? 0 : earlier->second;
        const double rate = static_cast<double>(bytes - base) / seconds / vms;
        total += rate;
        if (rate >= 1.0)
            parts += absl::StrFormat(" %s=%.0f", messageNames[type], rate);
    }
    std::printf("vms %3d requests/s/VM %5.1f sent B/s/VM %6.0f%s; run %.2f s wall for %d s\n", vms,
                requests / seconds / vms, total, parts.c_str(), wallSeconds, seconds);
}

/**
 * Prints the elapsed time of a complete report and of a grant in a shard with the given number of
 * workspaces, a tenth of which are backlogged.
 */
void printShardCost(int workspaces)
{
    configuration_document document;
    document.environment = "bench";
    document.dataCentres.push_back({.name = "dc"});
    document.services.push_back(
        {.name = "service", .slotsPerTarget = 64, .coldSlotsPerTarget = 64});
    for (int index = 0; index < workspaces; ++index)
        document.workspaces.push_back(
            {.name = "workspace-" + std::to_string(index), .services = {"service"}});
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    shard_scheduler shard({.shard = "service/dc/0",
                           .dataCentre = "dc",
                           .epoch = 1,
                           .service = document.services.front(),
                           .since = start - absl::Minutes(1)},
                          document);
    std::vector<target_listing> targets;
    for (int index = 0; index < 18; ++index)
        targets.push_back({.target = "target-" + std::to_string(index),
                           .address = "127.0.0.1:1",
                           .service = "service",
                           .dataCentre = "dc"});
    shard.setTargets(targets, start);
    protocol::router_report report;
    report.router = "vm-1";
    report.incarnation = 1;
    report.complete = true;
    protocol::service_demand demand;
    demand.serviceName = "service";
    for (int index = 0; index < workspaces / 10; ++index) {
        protocol::workspace_demand item;
        item.workspace = "workspace-" + std::to_string(index * 10);
        item.waiting = 4;
        demand.workspaces.push_back(item);
    }
    report.demands.push_back(demand);
    const auto reportStart = std::chrono::steady_clock::now();
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        ++report.sequence;
        shard.onReport(report, start);
    }
    const double reportTime = secondsSince(reportStart) / rounds;
    const auto grantStart = std::chrono::steady_clock::now();
    const std::size_t grants = shard.grant(ownership_certainty::Certain, start).size();
    const double grantTime
        = secondsSince(grantStart) / static_cast<double>(std::max<std::size_t>(1, grants));
    std::printf(
        "workspaces %6d backlogged %5d complete report %8.0f us, grant %6.1f us (%zu grants)\n",
        workspaces, workspaces / 10, reportTime * 1e6, grantTime * 1e6, grants);
}

} // namespace

} // namespace quetzal

int main()
{
    for (const int vms : {3, 6, 12, 24})
        quetzal::printTraffic(vms);
    for (const int workspaces : {1875, 3750, 7500, 15000})
        quetzal::printShardCost(workspaces);
    return 0;
}
