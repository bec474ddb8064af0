#include "configuration/document/document_reader.h"

#include <set>

namespace quetzal {

namespace {

constexpr std::int64_t maxSlots = 4096;
constexpr std::int64_t maxBufferedBytes = 1LL << 32;
constexpr double maxShare = 1e6;
constexpr double maxCost = 1e9;

data_centre_definition readDataCentre(json_reader &reader)
{
    data_centre_definition result;
    result.name = reader.requiredString("name");
    const std::string state = reader.optionalString("state", "in");
    if (state != "in" && state != "out")
        reader.addFault("state", "must be \"in\" or \"out\"");
    result.state = state == "out" ? data_centre_state::Out : data_centre_state::In;
    reader.reportUnknownMembers();
    return result;
}

request_kind readRequestKind(json_reader &reader)
{
    request_kind result;
    result.name = reader.requiredString("name");
    result.weight = reader.optionalNumber("weight", 1e-6, maxCost, 1.0);
    reader.reportUnknownMembers();
    return result;
}

call_rule readCallRule(json_reader &reader)
{
    call_rule result;
    result.method = reader.requiredString("method");
    result.pathPrefix = reader.requiredString("pathPrefix");
    result.idempotent = reader.optionalBoolean("idempotent", false);
    result.requestKind = reader.optionalString("requestKind", "");
    reader.reportUnknownMembers();
    return result;
}

service_kind readServiceKind(json_reader &reader)
{
    const std::string kind = reader.requiredString("kind");
    if (!kind.empty() && kind != "model" && kind != "plain")
        reader.addFault("kind", "must be \"model\" or \"plain\"");
    return kind == "plain" ? service_kind::Plain : service_kind::Model;
}

service_unit readServiceUnit(json_reader &reader)
{
    const std::string unit = reader.requiredString("unit");
    if (!unit.empty() && unit != "tokens" && unit != "answeredRequests")
        reader.addFault("unit", "must be \"tokens\" or \"answeredRequests\"");
    return unit == "answeredRequests" ? service_unit::AnsweredRequests : service_unit::Tokens;
}

service_definition readService(json_reader &reader)
{
    service_definition result;
    result.name = reader.requiredString("name");
    result.kind = readServiceKind(reader);
    result.unit = readServiceUnit(reader);
    result.models = reader.optionalStrings("models");
    for (json_reader &kind : reader.objects("requestKinds"))
        result.requestKinds.push_back(readRequestKind(kind));
    for (json_reader &call : reader.objects("calls"))
        result.calls.push_back(readCallRule(call));
    result.shardsPerDataCentre
        = static_cast<int>(reader.optionalInteger("shardsPerDataCentre", 1, 256, 1));
    result.slotsPerTarget
        = static_cast<int>(reader.optionalInteger("slotsPerTarget", 1, maxSlots, 8));
    result.coldSlotsPerTarget
        = static_cast<int>(reader.optionalInteger("coldSlotsPerTarget", 1, maxSlots, 1));
    result.largestRequest = reader.optionalNumber("largestRequest", 1e-6, maxCost, 4096.0);
    result.targetsCheckFencing = reader.optionalBoolean("targetsCheckFencing", false);
    if (result.coldSlotsPerTarget > result.slotsPerTarget)
        reader.addFault("coldSlotsPerTarget", "must not exceed slotsPerTarget");
    reader.reportUnknownMembers();
    return result;
}

workspace_definition readWorkspace(json_reader &reader)
{
    workspace_definition result;
    result.name = reader.requiredString("name");
    result.share = reader.optionalNumber("share", 1e-6, maxShare, 1.0);
    result.keyDigests = reader.optionalStrings("keyDigests");
    result.services = reader.optionalStrings("services");
    result.dataCentres = reader.optionalStrings("dataCentres");
    json_reader limits = reader.object("limits");
    result.limits.waitingRequests
        = static_cast<int>(limits.optionalInteger("waitingRequests", 1, 100000, 200));
    result.limits.bufferedBytes
        = limits.optionalInteger("bufferedBytes", 1, maxBufferedBytes, 16 * 1024 * 1024);
    limits.reportUnknownMembers();
    reader.reportUnknownMembers();
    return result;
}

/** Reports duplicate names and references to undefined names as faults. */
class reference_checker
{
public:
    explicit reference_checker(std::vector<json_fault> &faults)
        : m_faults(faults)
    {
    }

    template <typename Definition>
    std::set<std::string> uniqueNames(const std::vector<Definition> &definitions,
                                      const std::string &path)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < definitions.size(); ++index) {
            if (!names.insert(definitions[index].name).second)
                addFault(path + "/" + std::to_string(index) + "/name", "stands twice");
        }
        return names;
    }

    void checkReferences(const std::vector<std::string> &references,
                         const std::set<std::string> &names, const std::string &path)
    {
        for (std::size_t index = 0; index < references.size(); ++index) {
            if (!names.contains(references[index]))
                addFault(path + "/" + std::to_string(index), "is not defined");
        }
    }

    void addFault(std::string path, std::string problem)
    {
        m_faults.push_back({std::move(path), std::move(problem)});
    }

private:
    std::vector<json_fault> &m_faults;
};

bool isDigest(const std::string &text)
{
    constexpr std::size_t digestLength = 64;
    return text.size() == digestLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void checkServices(const configuration_document &document, reference_checker &checker)
{
    std::set<std::string> models;
    for (std::size_t index = 0; index < document.services.size(); ++index) {
        const service_definition &service = document.services[index];
        const std::string path = "/services/" + std::to_string(index);
        for (std::size_t model = 0; model < service.models.size(); ++model) {
            if (!models.insert(service.models[model]).second)
                checker.addFault(path + "/models/" + std::to_string(model), "stands twice");
        }
        const auto kinds = checker.uniqueNames(service.requestKinds, path + "/requestKinds");
        for (std::size_t call = 0; call < service.calls.size(); ++call) {
            const std::string &kind = service.calls[call].requestKind;
            if (!kind.empty() && !kinds.contains(kind))
                checker.addFault(path + "/calls/" + std::to_string(call) + "/requestKind",
                                 "is not defined");
        }
    }
}

void checkWorkspaces(const configuration_document &document, reference_checker &checker)
{
    const auto services = checker.uniqueNames(document.services, "/services");
    const auto dataCentres = checker.uniqueNames(document.dataCentres, "/dataCentres");
    checker.uniqueNames(document.workspaces, "/workspaces");
    std::set<std::string> digests;
    for (std::size_t index = 0; index < document.workspaces.size(); ++index) {
        const workspace_definition &workspace = document.workspaces[index];
        const std::string path = "/workspaces/" + std::to_string(index);
        checker.checkReferences(workspace.services, services, path + "/services");
        checker.checkReferences(workspace.dataCentres, dataCentres, path + "/dataCentres");
        for (std::size_t key = 0; key < workspace.keyDigests.size(); ++key) {
            const std::string keyPath = path + "/keyDigests/" + std::to_string(key);
            if (!isDigest(workspace.keyDigests[key]))
                checker.addFault(keyPath,
                                 "must be a SHA-256 digest in lower-case hexadecimal digits");
            else if (!digests.insert(workspace.keyDigests[key]).second)
                checker.addFault(keyPath, "stands twice");
        }
    }
}

} // namespace

document_read_result readDocument(std::string_view text)
{
    json_parse_result parsed = parseJsonWithComments(text);
    if (!parsed.document)
        return {std::nullopt, std::move(parsed.faults)};

    document_read_result result;
    configuration_document document;
    json_reader reader(*parsed.document, "", result.faults);
    document.environment = reader.requiredString("environment");
    for (json_reader &item : reader.objects("dataCentres"))
        document.dataCentres.push_back(readDataCentre(item));
    for (json_reader &item : reader.objects("services"))
        document.services.push_back(readService(item));
    for (json_reader &item : reader.objects("workspaces"))
        document.workspaces.push_back(readWorkspace(item));
    reader.reportUnknownMembers();

    reference_checker checker(result.faults);
    checkServices(document, checker);
    checkWorkspaces(document, checker);
    if (result.faults.empty())
        result.document = std::move(document);
    return result;
}

std::string toCanonicalJson(const configuration_document &document)
{
    nlohmann::json dataCentres = nlohmann::json::array();
    for (const data_centre_definition &item : document.dataCentres) {
        const bool in = item.state == data_centre_state::In;
        dataCentres.push_back({{"name", item.name}, {"state", in ? "in" : "out"}});
    }

    nlohmann::json services = nlohmann::json::array();
    for (const service_definition &item : document.services) {
        nlohmann::json kinds = nlohmann::json::array();
        for (const request_kind &kind : item.requestKinds)
            kinds.push_back({{"name", kind.name}, {"weight", kind.weight}});
        nlohmann::json calls = nlohmann::json::array();
        for (const call_rule &call : item.calls)
            calls.push_back({{"method", call.method},
                             {"pathPrefix", call.pathPrefix},
                             {"idempotent", call.idempotent},
                             {"requestKind", call.requestKind}});
        const bool tokens = item.unit == service_unit::Tokens;
        services.push_back({{"name", item.name},
                            {"kind", item.kind == service_kind::Model ? "model" : "plain"},
                            {"unit", tokens ? "tokens" : "answeredRequests"},
                            {"models", item.models},
                            {"requestKinds", kinds},
                            {"calls", calls},
                            {"shardsPerDataCentre", item.shardsPerDataCentre},
                            {"slotsPerTarget", item.slotsPerTarget},
                            {"coldSlotsPerTarget", item.coldSlotsPerTarget},
                            {"largestRequest", item.largestRequest},
                            {"targetsCheckFencing", item.targetsCheckFencing}});
    }

    nlohmann::json workspaces = nlohmann::json::array();
    for (const workspace_definition &item : document.workspaces) {
        const nlohmann::json limits = {{"waitingRequests", item.limits.waitingRequests},
                                       {"bufferedBytes", item.limits.bufferedBytes}};
        workspaces.push_back({{"name", item.name},
                              {"share", item.share},
                              {"keyDigests", item.keyDigests},
                              {"services", item.services},
                              {"dataCentres", item.dataCentres},
                              {"limits", limits}});
    }
    return nlohmann::json {{"environment", document.environment},
                           {"dataCentres", dataCentres},
                           {"services", services},
                           {"workspaces", workspaces}}
        .dump();
}

} // namespace quetzal
