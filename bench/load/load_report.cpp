#include "bench/load/load_report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace quetzal {

namespace {

nlohmann::json latencyJson(const latency_summary &summary)
{
    return {{"samples", summary.samples},
            {"p50Ms", absl::ToDoubleMilliseconds(summary.median)},
            {"p95Ms", absl::ToDoubleMilliseconds(summary.p95)},
            {"p99Ms", absl::ToDoubleMilliseconds(summary.p99)}};
}

nlohmann::json refusalsJson(const workspace_statistics &statistics)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[reason, count] : statistics.refused)
        list.push_back({{"code", reason.first}, {"execution", reason.second}, {"count", count}});
    return list;
}

nlohmann::json workspaceJson(const std::string &name, double share,
                             const load_statistics &runStatistics, const nlohmann::json &gap)
{
    const auto found = runStatistics.workspaces().find(name);
    const workspace_statistics statistics
        = found == runStatistics.workspaces().end() ? workspace_statistics {} : found->second;
    return {{"workspace", name},
            {"share", share},
            {"sent", statistics.sent},
            {"whole", statistics.whole},
            {"wrong", statistics.wrong},
            {"broken", statistics.broken},
            {"tokens", statistics.tokens},
            {"service", statistics.service},
            {"gap", gap},
            {"refused", refusalsJson(statistics)},
            {"firstToken", latencyJson(runStatistics.firstToken(name))},
            {"betweenTokens", latencyJson(runStatistics.betweenTokens(name))},
            {"wholeAnswer", latencyJson(runStatistics.completeAnswer(name))}};
}

/** Returns the largest cost of a request of a flow at a service, in the service's unit. */
double largestCost(const load_flow &flow, const service_definition &service)
{
    double largest = 0.0;
    for (const request_template &item : flow.mix) {
        if (item.service != service.name)
            continue;
        const auto kind = std::ranges::find(service.requestKinds, item.kind, &request_kind::name);
        const double weight = kind == service.requestKinds.end() ? 1.0 : kind->weight;
        const double cost = service.unit == service_unit::Tokens ? item.maxTokens : weight;
        largest = std::max(largest, cost);
    }
    return largest;
}

/** Returns the largest cost of a request of a service, divided by its workspace's share. */
double largestWeightedRequest(const load_settings &settings, const configuration_document &document,
                              const service_definition &service)
{
    double largest = 0.0;
    for (const load_workspace &workspace : settings.workspaces) {
        const workspace_definition *definition = document.findWorkspace(workspace.name);
        if (definition == nullptr)
            continue;
        for (const load_flow &flow : workspace.flows)
            largest = std::max(largest, largestCost(flow, service) / definition->share);
    }
    return largest;
}

/** Returns the widest gap of each service, as a multiple of its largest weighted request. */
std::map<std::string, double> gapsInRequests(const load_settings &settings,
                                             const configuration_document &document,
                                             const std::map<std::string, gap_meter> &gaps)
{
    std::map<std::string, double> result;
    for (const auto &[service, meter] : gaps) {
        const double largest
            = largestWeightedRequest(settings, document, *document.findService(service));
        result[service] = largest > 0.0 ? meter.widest() / largest : 0.0;
    }
    return result;
}

nlohmann::json gapsJson(const load_settings &settings, const configuration_document &document,
                        const std::map<std::string, gap_meter> &gaps)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[service, inRequests] : gapsInRequests(settings, document, gaps)) {
        const gap_meter &meter = gaps.at(service);
        list.push_back({{"service", service},
                        {"widest", meter.widest()},
                        {"inLargestRequests", inRequests},
                        {"between", {meter.pair().first, meter.pair().second}}});
    }
    return list;
}

nlohmann::json violationsJson(const load_violations &violations)
{
    return {{"wrongAnswers", violations.wrongAnswers},
            {"brokenAnswers", violations.brokenAnswers},
            {"doubled", violations.duplicateExecutions},
            {"notRunButRun", violations.executedDespiteNotRun},
            {"lost", violations.answeredWithoutExecution},
            {"newWorkWhileOut", violations.startedDuringOutage},
            {"starvedWorkspaces", violations.starvedWorkspaces},
            {"coldLimitExceeded", violations.coldLimitExceeded},
            {"gapsAboveBound", violations.gapsAboveBound}};
}

std::string refusalsText(const nlohmann::json &refused)
{
    std::string text;
    for (const nlohmann::json &entry : refused) {
        absl::StrAppend(&text, text.empty() ? "" : " ", entry["code"].get<int>(), "/",
                        entry["execution"].get<std::string>(), ":", entry["count"].get<int>());
    }
    return text.empty() ? "-" : text;
}

/**
 * Returns the amounts of service that a workspace received, in total and per unit of share, with
 * its widest gap.
 */
std::string serviceText(const nlohmann::json &row)
{
    std::string text;
    for (const auto &[service, amount] : row["service"].items()) {
        absl::StrAppendFormat(
            &text, "%s %8.0f (%.0f a share, gap %.2f) ", service, amount.get<double>(),
            amount.get<double>() / row["share"].get<double>(), row["gap"].value(service, 0.0));
    }
    return text;
}

void appendWorkspaces(std::string &text, const nlohmann::json &rows)
{
    absl::StrAppendFormat(&text, "%-22s %5s %6s %6s %9s %9s %8s  %s\n", "workspace", "share",
                          "sent", "whole", "ttft p50", "ttft p95", "itl p95",
                          "service received; refused code/execution:count");
    for (const nlohmann::json &row : rows) {
        absl::StrAppendFormat(
            &text, "%-22s %5.1f %6d %6d %6.0f ms %6.0f ms %5.1f ms  %s; %s\n",
            row["workspace"].get<std::string>(), row["share"].get<double>(), row["sent"].get<int>(),
            row["whole"].get<int>(), row["firstToken"]["p50Ms"].get<double>(),
            row["firstToken"]["p95Ms"].get<double>(), row["betweenTokens"]["p95Ms"].get<double>(),
            serviceText(row), refusalsText(row["refused"]));
    }
}

void appendMap(std::string &text, const std::string &title, const nlohmann::json &values,
               const std::string &format)
{
    absl::StrAppend(&text, title, ":");
    const auto parsed = absl::ParsedFormat<'f'>::New(format);
    for (const auto &[name, value] : values.items())
        absl::StrAppend(&text, " ", name, "=", absl::StrFormat(*parsed, value.get<double>()));
    absl::StrAppend(&text, values.empty() ? " not measured\n" : "\n");
}

} // namespace

int countGapsAboveBound(const load_settings &settings, const configuration_document &document,
                        const std::map<std::string, gap_meter> &gaps)
{
    if (settings.maxGap == 0.0)
        return 0;
    const auto measured = gapsInRequests(settings, document, gaps);
    return static_cast<int>(std::ranges::count_if(
        measured, [&](const auto &entry) { return entry.second > settings.maxGap; }));
}

nlohmann::json reportJson(const load_settings &settings, const configuration_document &document,
                          const load_statistics &statistics,
                          const std::map<std::string, gap_meter> &gaps,
                          const load_measurements &measurements)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const load_workspace &workspace : settings.workspaces) {
        const workspace_definition *definition = document.findWorkspace(workspace.name);
        const double share = definition == nullptr ? 1.0 : definition->share;
        nlohmann::json gap = nlohmann::json::object();
        for (const auto &[service, meter] : gaps) {
            const double largest
                = largestWeightedRequest(settings, document, *document.findService(service));
            if (largest > 0.0)
                gap[service] = meter.widestOf(workspace.name) / largest;
        }
        rows.push_back(workspaceJson(workspace.name, share, statistics, gap));
    }
    return {{"seed", settings.seed},
            {"durationSeconds", absl::ToDoubleSeconds(measurements.duration)},
            {"workspaces", rows},
            {"gaps", gapsJson(settings, document, gaps)},
            {"utilisation", measurements.utilisation},
            {"utilisationByPhase", measurements.utilisationByPhase},
            {"controlBytesPerSecond", measurements.controlBytesPerSecond},
            {"executions", measurements.executions},
            {"outageWindows", measurements.outageWindows},
            {"violations", violationsJson(measurements.violations)},
            {"holds", !measurements.violations.any()}};
}

std::string reportTable(const nlohmann::json &report)
{
    std::string text;
    appendWorkspaces(text, report["workspaces"]);
    text += "\n";
    for (const nlohmann::json &gap : report["gaps"]) {
        absl::StrAppendFormat(
            &text, "gap %s: %.2f largest weighted requests (%.1f, %s against %s)\n",
            gap["service"].get<std::string>(), gap["inLargestRequests"].get<double>(),
            gap["widest"].get<double>(), gap["between"][0].get<std::string>(),
            gap["between"][1].get<std::string>());
    }
    appendMap(text, "utilisation of what engines bear", report["utilisation"], "%.3f");
    appendMap(text, "utilisation by phase", report["utilisationByPhase"], "%.3f");
    appendMap(text, "control bytes a second", report["controlBytesPerSecond"], "%.0f");
    appendMap(text, "executions", report["executions"], "%.0f");
    absl::StrAppend(&text, "outage windows watched: ", report["outageWindows"].get<int>(), "\n");
    text += "must be zero:";
    for (const auto &[name, count] : report["violations"].items())
        absl::StrAppend(&text, " ", name, "=", count.get<int>());
    absl::StrAppend(&text, "\n", report["holds"].get<bool>() ? "holds" : "DOES NOT HOLD", "\n");
    return text;
}

} // namespace quetzal
