#include "bench/load/load_settings.h"

#include <algorithm>
#include <cstdlib>

namespace quetzal {

namespace {

constexpr int maxPort = 65535;
constexpr int maxConcurrency = 512;
constexpr int maxTokens = 65536;
constexpr double maxValue = 1e6;
constexpr double maxDurationSeconds = 3600.0;
constexpr double maxDurationMs = 3600000.0;
constexpr std::int64_t maxRequests = 1000000;

load_address readAddress(json_reader &reader)
{
    return {reader.requiredString("ip"),
            static_cast<int>(reader.requiredInteger("port", 1, maxPort))};
}

call_type readCall(json_reader &reader)
{
    const std::string call = reader.requiredString("call");
    if (call == "streamedChat")
        return call_type::StreamedChat;
    if (call == "chat")
        return call_type::Chat;
    if (!call.empty() && call != "plain")
        reader.addFault("call", "must be \"streamedChat\", \"chat\" or \"plain\"");
    return call_type::Plain;
}

request_template readItem(json_reader &reader)
{
    request_template item;
    item.call = readCall(reader);
    item.service = reader.requiredString("service");
    item.weight = reader.optionalNumber("weight", 0.0, maxValue, item.weight);
    item.model = reader.optionalString("model", "");
    item.minTokens
        = static_cast<int>(reader.optionalInteger("leastTokens", 1, maxTokens, item.minTokens));
    item.maxTokens
        = static_cast<int>(reader.optionalInteger("mostTokens", 1, maxTokens, item.maxTokens));
    item.hintFactor = reader.optionalNumber("hintFactor", 0.0, maxValue, item.hintFactor);
    item.kind = reader.optionalString("kind", "");
    item.method = reader.optionalString("method", item.method);
    item.path = reader.optionalString("path", item.path);
    item.idempotent = reader.optionalBoolean("idempotent", false);
    if (item.maxTokens < item.minTokens)
        reader.addFault("mostTokens", "must not be below leastTokens");
    reader.reportUnknownMembers();
    return item;
}

std::vector<int> readRouters(json_reader &reader, std::size_t routers)
{
    std::vector<int> indexes;
    for (const std::string &text : reader.optionalStrings("routers")) {
        const int index = std::atoi(text.c_str());
        if (index < 0 || static_cast<std::size_t>(index) >= routers)
            reader.addFault("routers", "names a router that is not listed");
        else
            indexes.push_back(index);
    }
    return indexes;
}

load_flow readFlow(json_reader &reader, std::size_t routers)
{
    load_flow flow;
    flow.concurrency
        = static_cast<int>(reader.optionalInteger("concurrency", 1, maxConcurrency, 1));
    flow.backlogThreshold = static_cast<int>(reader.optionalInteger(
        "backloggedFrom", 1, maxConcurrency, std::max(1, flow.concurrency / 2)));
    flow.ratePerSecond = reader.optionalNumber("ratePerSecond", 0.0, maxValue, 0.0);
    flow.routers = readRouters(reader, routers);
    for (json_reader &item : reader.objects("mix"))
        flow.mix.push_back(readItem(item));
    if (flow.mix.empty())
        reader.addFault("mix", "must name at least one request");
    reader.reportUnknownMembers();
    return flow;
}

load_workspace readWorkspace(json_reader &reader, std::size_t routers)
{
    load_workspace workspace;
    workspace.name = reader.requiredString("name");
    workspace.key = reader.requiredString("key");
    for (json_reader &flow : reader.objects("flows"))
        workspace.flows.push_back(readFlow(flow, routers));
    reader.reportUnknownMembers();
    return workspace;
}

load_target readTarget(json_reader &reader)
{
    load_target target {readAddress(reader), reader.optionalString("dataCentre", "")};
    reader.reportUnknownMembers();
    return target;
}

load_node readNode(json_reader &reader)
{
    load_node node {reader.requiredString("vm"), readAddress(reader)};
    reader.reportUnknownMembers();
    return node;
}

} // namespace

load_settings_read_result readLoadSettings(std::string_view text)
{
    load_settings_read_result result;
    const json_parse_result parsed = parseJsonWithComments(text);
    result.faults = parsed.faults;
    if (!parsed.document)
        return result;
    json_reader reader(*parsed.document, "", result.faults);
    load_settings &settings = result.settings;
    for (json_reader &item : reader.objects("routers")) {
        settings.routers.push_back(readAddress(item));
        item.reportUnknownMembers();
    }
    for (json_reader &item : reader.objects("targets"))
        settings.targets.push_back(readTarget(item));
    for (json_reader &item : reader.objects("nodes"))
        settings.nodes.push_back(readNode(item));
    settings.documentPath = reader.requiredString("document");
    for (json_reader &item : reader.objects("workspaces"))
        settings.workspaces.push_back(readWorkspace(item, settings.routers.size()));
    settings.maxGap = reader.optionalNumber("mostGap", 0.0, maxValue, 0.0);
    settings.seed = static_cast<std::uint64_t>(reader.optionalInteger("seed", 0, 1LL << 62, 1));
    settings.duration = absl::Seconds(reader.optionalNumber(
        "durationSeconds", 0.1, maxDurationSeconds, absl::ToDoubleSeconds(settings.duration)));
    settings.deadline = absl::Milliseconds(reader.optionalNumber(
        "deadlineMs", 1.0, maxDurationMs, absl::ToDoubleMilliseconds(settings.deadline)));
    settings.maxRequests
        = reader.optionalInteger("mostRequests", 1, maxRequests, settings.maxRequests);
    settings.delayAfterRefusal = absl::Milliseconds(
        reader.optionalNumber("pauseAfterRefusalMs", 0.0, maxDurationMs,
                              absl::ToDoubleMilliseconds(settings.delayAfterRefusal)));
    if (settings.routers.empty())
        reader.addFault("routers", "must name at least one router");
    reader.reportUnknownMembers();
    return result;
}

} // namespace quetzal
