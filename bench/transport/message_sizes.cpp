/**
 * Prints the encoded size of each message type in bytes, including the framing, by number of
 * entries.
 */

#include "protocol/messages/message_codec.h"
#include "transport/link/frame.h"

#include <array>
#include <cstdio>
#include <string>

namespace quetzal {

namespace {

constexpr std::array<int, 4> entryCounts {1, 10, 100, 1000};
constexpr std::int64_t someEpoch = 1234;
constexpr std::int64_t someSequence = 1'000'000;
/** Microseconds since the Unix epoch, as newIncarnation() returns them. */
constexpr std::int64_t someIncarnation = 1'796'360'400'000'000;
constexpr double someUnits = 1234.5;

std::string numberedName(const char *prefix, int index)
{
    return prefix + std::to_string(10'000 + index);
}

message demandReport(int entries)
{
    protocol::router_report report;
    report.router = "vm-100";
    report.incarnation = someIncarnation;
    report.sequence = someSequence;
    protocol::service_demand demand;
    demand.serviceName = "roster-llm";
    for (int index = 0; index < entries; ++index) {
        protocol::workspace_demand workspace;
        workspace.workspace = numberedName("workspace-", index);
        workspace.waiting = index % 50;
        workspace.headKind = "draft";
        workspace.headHint = someUnits;
        demand.workspaces.push_back(workspace);
    }
    report.demands.push_back(demand);
    return report;
}

protocol::shard_usage emptyUsage()
{
    protocol::shard_usage usage;
    usage.shard = "roster-llm/nashua/0";
    usage.epochKnown = someEpoch;
    usage.highestTicket = someSequence;
    return usage;
}

message runningReport(int entries)
{
    protocol::router_report report;
    report.router = "vm-100";
    protocol::shard_usage usage = emptyUsage();
    for (int index = 0; index < entries; ++index) {
        protocol::running_ticket running;
        running.epoch = someEpoch;
        running.ticket = someSequence + index;
        running.target = numberedName("engine-", index);
        running.workspace = numberedName("workspace-", index);
        running.requestKind = "draft";
        running.hint = someUnits;
        running.units = someUnits;
        usage.running.push_back(running);
    }
    report.usages.push_back(usage);
    return report;
}

message outcomeReport(int entries)
{
    protocol::router_report report;
    report.router = "vm-100";
    protocol::shard_usage usage = emptyUsage();
    for (int index = 0; index < entries; ++index) {
        protocol::ticket_outcome outcome;
        outcome.epoch = someEpoch;
        outcome.ticket = someSequence + index;
        outcome.target = numberedName("engine-", index);
        outcome.workspace = numberedName("workspace-", index);
        outcome.ending = protocol::ticket_end::AnsweredWhole;
        outcome.requestKind = "draft";
        outcome.hint = someUnits;
        outcome.units = someUnits;
        outcome.targetInstance = numberedName("instance-", index);
        usage.outcomes.push_back(outcome);
    }
    report.usages.push_back(usage);
    return report;
}

message grants(int entries)
{
    protocol::grant_batch batch;
    batch.scheduler = "vm-100";
    batch.acknowledgedSequence = someSequence;
    for (int index = 0; index < entries; ++index) {
        protocol::grant granted;
        granted.shard = "roster-llm/nashua/0";
        granted.epoch = someEpoch;
        granted.ticket = someSequence + index;
        granted.target = numberedName("engine-", index);
        granted.address = "10.20.30.40:8000";
        granted.serviceName = "roster-llm";
        granted.workspace = numberedName("workspace-", index);
        granted.reportSequence = someSequence;
        granted.lifetimeMillis = 2000;
        batch.grants.push_back(granted);
    }
    return batch;
}

protocol::shard_owner owner(int index)
{
    protocol::shard_owner owned;
    owned.shard = numberedName("roster-llm/nashua/", index);
    owned.serviceName = "roster-llm";
    owned.dataCentre = "nashua";
    owned.owner = numberedName("vm-", index);
    owned.epoch = someEpoch;
    return owned;
}

message fleetView(int entries)
{
    protocol::fleet_view view;
    view.scheduler = "vm-100";
    view.configurationRevision = someSequence;
    for (int index = 0; index < entries; ++index)
        view.owners.push_back(owner(index));
    return view;
}

message heartbeatWithClaims(int entries)
{
    protocol::heartbeat beat;
    beat.vm = "vm-100";
    beat.sequence = someSequence;
    for (int index = 0; index < entries; ++index) {
        protocol::ownership_claim claim;
        claim.shard = numberedName("roster-llm/nashua/", index);
        claim.vm = "vm-100";
        claim.incarnation = someIncarnation;
        claim.epoch = someEpoch;
        beat.claims.push_back(claim);
    }
    return beat;
}

std::vector<protocol::ledger_entry> ledgerEntries(int entries)
{
    std::vector<protocol::ledger_entry> list(static_cast<std::size_t>(entries));
    for (int index = 0; index < entries; ++index) {
        list[static_cast<std::size_t>(index)].workspace = numberedName("workspace-", index);
        list[static_cast<std::size_t>(index)].charged = someUnits;
        list[static_cast<std::size_t>(index)].totalKnown = someUnits;
        list[static_cast<std::size_t>(index)].included = someUnits;
    }
    return list;
}

message ledgerDelta(int entries)
{
    protocol::ledger_delta delta;
    delta.serviceName = "roster-llm";
    delta.writer = "roster-llm/nashua/0#1234";
    delta.entries = ledgerEntries(entries);
    return delta;
}

message ledgerTotals(int entries)
{
    protocol::ledger_totals totals;
    totals.serviceName = "roster-llm";
    totals.home = "vm-100";
    totals.writer = "roster-llm/nashua/0#1234";
    totals.entries = ledgerEntries(entries);
    return totals;
}

/** Returns an update with a document of the given number of KiB. */
message configurationUpdate(int entries)
{
    protocol::configuration_update update;
    update.revision = someSequence;
    update.digest = std::string(64, 'a');
    update.document = std::string(static_cast<std::size_t>(entries) * 1024, 'd');
    return update;
}

message renewalRequest(int /*entries*/)
{
    protocol::renewal_request request;
    request.vm = "vm-100";
    request.lease = someSequence;
    request.requestId = someSequence;
    return request;
}

/** Prints the sizes of a message at each number of entries, and the bytes per entry. */
void printRow(const char *name, message (*make)(int))
{
    std::printf("| %s |", name);
    std::array<std::size_t, entryCounts.size()> sizes {};
    for (std::size_t index = 0; index < entryCounts.size(); ++index) {
        sizes[index] = encodeFrame(encodeMessage(make(entryCounts[index]))).size();
        std::printf(" %zu |", sizes[index]);
    }
    const double slope = static_cast<double>(sizes.back() - sizes.front())
        / static_cast<double>(entryCounts.back() - entryCounts.front());
    std::printf(" %.1f |\n", slope);
}

} // namespace

} // namespace quetzal

int main()
{
    using namespace quetzal;
    std::printf("| message, entries | 1 | 10 | 100 | 1000 | bytes per entry |\n");
    std::printf("|---|---|---|---|---|---|\n");
    printRow("router_report, workspaces waiting", demandReport);
    printRow("router_report, running tickets", runningReport);
    printRow("router_report, outcomes", outcomeReport);
    printRow("grant_batch, grants", grants);
    printRow("fleet_view, shards", fleetView);
    printRow("heartbeat, owned shards", heartbeatWithClaims);
    printRow("ledger_delta, workspaces", ledgerDelta);
    printRow("ledger_totals, workspaces", ledgerTotals);
    printRow("configuration_update, KiB of document", configurationUpdate);
    printRow("renewal_request", renewalRequest);
    return 0;
}
