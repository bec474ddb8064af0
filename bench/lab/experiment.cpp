#include "lab/experiment.h"

#include <utility>

namespace quetzal::bench {

namespace {

constexpr double maxNumber = 1e9;
constexpr int maxCount = 100000;
constexpr double maxSeconds = 3600.0;

double number(json_reader &reader, const std::string &name, double fallback)
{
    return reader.optionalNumber(name, 0.0, maxNumber, fallback);
}

int count(json_reader &reader, const std::string &name, int fallback)
{
    return static_cast<int>(reader.optionalInteger(name, 0, maxCount, fallback));
}

absl::Duration milliseconds(json_reader &reader, const std::string &name, absl::Duration fallback)
{
    return absl::Milliseconds(number(reader, name, absl::ToDoubleMilliseconds(fallback)));
}

absl::Duration seconds(json_reader &reader, const std::string &name, absl::Duration fallback)
{
    return absl::Seconds(
        reader.optionalNumber(name, 0.0, maxSeconds, absl::ToDoubleSeconds(fallback)));
}

size_distribution readSize(json_reader reader)
{
    const size_distribution defaults;
    size_distribution size {.mean = number(reader, "mean", defaults.mean),
                            .logStdDev = number(reader, "spread", defaults.logStdDev),
                            .max = number(reader, "most", defaults.max)};
    reader.reportUnknownMembers();
    return size;
}

engine_parameters readEngine(json_reader reader)
{
    const engine_parameters defaults;
    engine_parameters parameters {
        .slots = count(reader, "slots", defaults.slots),
        .queue = count(reader, "queue", defaults.queue),
        .step = milliseconds(reader, "stepMs", defaults.step),
        .stepPerRequest = milliseconds(reader, "stepMsPerRequest", defaults.stepPerRequest),
        .stepPerThousandTokens
        = milliseconds(reader, "stepMsPerThousandTokens", defaults.stepPerThousandTokens),
        .promptTokensPerMs = number(reader, "promptTokensPerMs", defaults.promptTokensPerMs),
        .chunkTokens = count(reader, "chunkTokens", static_cast<int>(defaults.chunkTokens)),
        .tokensPerEvent = count(reader, "tokensPerEvent", defaults.tokensPerEvent),
        .memoryTokens = reader.optionalInteger("memoryTokens", 1, static_cast<std::int64_t>(1e9),
                                               defaults.memoryTokens)};
    reader.reportUnknownMembers();
    return parameters;
}

service_plan readService(json_reader &reader)
{
    const service_plan defaults;
    service_plan service {.name = reader.requiredString("name"),
                          .targets = count(reader, "targets", defaults.targets),
                          .maxConnections
                          = count(reader, "mostConnections", defaults.maxConnections)};
    service.cold.coldStart = milliseconds(reader, "coldStartMs", defaults.cold.coldStart);
    service.cold.requestsPerSecond
        = number(reader, "coldRequestsPerSecond", defaults.cold.requestsPerSecond);
    if (reader.has("engine")) {
        service.parameters = readEngine(reader.object("engine"));
    } else {
        const plain_parameters plain;
        service.parameters = plain_parameters {.slots = count(reader, "slots", plain.slots),
                                               .queue = count(reader, "queue", plain.queue)};
    }
    reader.reportUnknownMembers();
    return service;
}

fleet_plan readFleet(json_reader reader)
{
    fleet_plan plan;
    if (reader.has("dataCentres"))
        plan.dataCentres = reader.optionalStrings("dataCentres");
    plan.vms = count(reader, "vms", plan.vms);
    plan.tokensPerSecond = number(reader, "tokensPerSecond", plan.tokensPerSecond);
    plan.interDataCentreDelay
        = milliseconds(reader, "betweenDataCentresMs", plan.interDataCentreDelay);
    plan.callerDelay = milliseconds(reader, "toCallersMs", plan.callerDelay);
    plan.limits.retries.ratio = number(reader, "retryRatio", plan.limits.retries.ratio);
    plan.limits.retries.allowance = number(reader, "retryAllowance", plan.limits.retries.allowance);
    plan.limits.coldFactor = number(reader, "coldFactor", plan.limits.coldFactor);
    plan.limits.coldAllowance = number(reader, "coldAllowance", plan.limits.coldAllowance);
    for (json_reader &service : reader.objects("services"))
        plan.services.push_back(readService(service));
    if (plan.dataCentres.empty())
        reader.addFault("dataCentres", "must not be empty");
    if (plan.vms == 0)
        reader.addFault("vms", "must not be 0");
    reader.reportUnknownMembers();
    return plan;
}

request_kind readKind(json_reader &reader)
{
    const std::string kind = reader.optionalString("kind", "stream");
    if (kind == "idempotent")
        return request_kind::Idempotent;
    if (kind == "nonIdempotent")
        return request_kind::NonIdempotent;
    if (kind != "stream")
        reader.addFault("kind", "must be \"stream\", \"idempotent\" or \"nonIdempotent\"");
    return request_kind::Stream;
}

class_plan readClass(json_reader &reader)
{
    const class_plan defaults;
    class_plan kind {.name = reader.requiredString("name"),
                     .kind = readKind(reader),
                     .isResumable = reader.optionalBoolean("resumable", defaults.isResumable),
                     .service = reader.requiredString("service"),
                     .perSecond = number(reader, "perSecond", defaults.perSecond),
                     .latencyObjective = milliseconds(reader, "aimMs", defaults.latencyObjective),
                     .deadline = milliseconds(reader, "deadlineMs", defaults.deadline),
                     .maxEventGap = milliseconds(reader, "gapAimMs", defaults.maxEventGap),
                     .worth = number(reader, "worth", defaults.worth),
                     .lateWorth = number(reader, "lateWorth", defaults.lateWorth),
                     .attempts = count(reader, "attempts", defaults.attempts),
                     .retries = count(reader, "retries", defaults.retries),
                     .ownTokens = readSize(reader.object("ownTokens")),
                     .outputTokens = readSize(reader.object("outputTokens")),
                     .workMs = readSize(reader.object("workMs")),
                     .alwaysFailingFraction
                     = reader.optionalNumber("doomed", 0.0, 1.0, defaults.alwaysFailingFraction)};
    for (json_reader &part : reader.objects("sharedParts")) {
        kind.sharedParts.push_back({.tokens = readSize(part.object("tokens")),
                                    .variantCount = count(part, "things", 1),
                                    .skew = number(part, "skew", 0.0)});
        part.reportUnknownMembers();
    }
    reader.reportUnknownMembers();
    return kind;
}

load_plan readLoad(json_reader reader)
{
    load_plan load;
    load.workspaces = count(reader, "workspaces", load.workspaces);
    load.workspaceSkew = number(reader, "workspaceSkew", load.workspaceSkew);
    load.abandoningFraction = reader.optionalNumber("leaving", 0.0, 1.0, load.abandoningFraction);
    const double factor = number(reader, "factor", 1.0);
    for (json_reader &kind : reader.objects("classes")) {
        load.classes.push_back(readClass(kind));
        load.classes.back().perSecond *= factor;
    }
    for (json_reader &change : reader.objects("changes")) {
        load_change entry {.at = seconds(change, "atSeconds", absl::ZeroDuration()),
                           .duration = seconds(change, "forSeconds", absl::Seconds(5)),
                           .factor = number(change, "factor", 1.0)};
        if (change.has("workspace"))
            entry.workspace = count(change, "workspace", 0);
        change.reportUnknownMembers();
        load.changes.push_back(entry);
    }
    if (load.classes.empty())
        reader.addFault("classes", "must not be empty");
    reader.reportUnknownMembers();
    return load;
}

policy_variant readVariant(json_reader &reader)
{
    policy_variant variant {.name = reader.requiredString("name")};
    variant.weights.repeatedWork = number(reader, "repeatedWork", variant.weights.repeatedWork);
    variant.weights.overdue = number(reader, "overdue", variant.weights.overdue);
    variant.weights.failure = milliseconds(reader, "failureMs", variant.weights.failure);
    variant.weights.fullOccupancy
        = milliseconds(reader, "fullOccupancyMs", variant.weights.fullOccupancy);
    variant.weights.otherDataCentre
        = milliseconds(reader, "otherDataCentreMs", variant.weights.otherDataCentre);
    variant.backlog.underShare = number(reader, "underShare", variant.backlog.underShare);
    variant.capacity.utilization = number(reader, "utilization", variant.capacity.utilization);
    variant.hasExchange = reader.optionalBoolean("exchange", variant.hasExchange);
    if (const double interval = number(reader, "exchangeMs", 0.0); interval > 0.0)
        variant.digestInterval = absl::Milliseconds(interval);
    variant.lostDigestFraction
        = reader.optionalNumber("lostDigests", 0.0, 1.0, variant.lostDigestFraction);
    reader.reportUnknownMembers();
    return variant;
}

fault readFault(json_reader &reader)
{
    fault entry {.subject = count(reader, "subject", 0),
                 .delay = seconds(reader, "afterSeconds", absl::ZeroDuration()),
                 .duration = seconds(reader, "forSeconds", absl::Seconds(5))};
    const auto kind = faultKindOf(reader.requiredString("kind"));
    if (kind)
        entry.kind = *kind;
    else
        reader.addFault("kind", "is not a kind of fault");
    reader.reportUnknownMembers();
    return entry;
}

} // namespace

experiment_parse_result readExperiment(std::string_view text)
{
    json_parse_result parsed = parseJsonWithComments(text);
    if (!parsed.document)
        return {.faults = std::move(parsed.faults)};
    std::vector<json_fault> faults;
    json_reader reader(*parsed.document, "", faults);
    lab_experiment experiment {.name = reader.requiredString("name"),
                               .fleet = readFleet(reader.object("fleet")),
                               .load = readLoad(reader.object("load")),
                               .duration = seconds(reader, "seconds", absl::Seconds(30))};
    for (json_reader &entry : reader.objects("faults"))
        experiment.faults.push_back(readFault(entry));
    for (json_reader &variant : reader.objects("ways"))
        experiment.variants.push_back(readVariant(variant));
    if (experiment.variants.empty())
        experiment.variants.push_back({.name = "usual"});
    const int seeds = count(reader, "seeds", 3);
    for (int seed = 1; seed <= seeds; ++seed)
        experiment.seeds.push_back(static_cast<std::uint64_t>(seed));
    json_reader worthWeights = reader.object("goal");
    experiment.worthWeights.whole = number(worthWeights, "whole", experiment.worthWeights.whole);
    experiment.worthWeights.worstWorkspaces
        = number(worthWeights, "worstWorkspaces", experiment.worthWeights.worstWorkspaces);
    experiment.worthWeights.worstWindows
        = number(worthWeights, "worstWindows", experiment.worthWeights.worstWindows);
    experiment.worthWeights.worstClass
        = number(worthWeights, "worstClass", experiment.worthWeights.worstClass);
    worthWeights.reportUnknownMembers();
    reader.reportUnknownMembers();
    experiment.fleet.workspaces = experiment.load.workspaceNames();
    for (const class_plan &kind : experiment.load.classes)
        experiment.fleet.routes.push_back(kind.toRoute());
    if (!faults.empty())
        return {.faults = std::move(faults)};
    return {.experiment = std::move(experiment)};
}

} // namespace quetzal::bench
