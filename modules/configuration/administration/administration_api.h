#pragma once

#include "configuration/administration/administration_messages.h"
#include "configuration/administration/configuration_changes.h"
#include "configuration/administration/document_difference.h"
#include "configuration/administration/fleet_report.h"
#include "configuration/document/document_reader.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** Options of an administration_api. */
struct administration_options
{
    /** Store key prefix of each environment by its name. */
    std::map<std::string, std::string> environments;
    /** Environment of a call without the parameter "environment". */
    std::string defaultEnvironment;
    /** Environment from which documents are promoted; empty if promotion is not configured. */
    std::string promotionSource;
    /** Environment to which documents are promoted; empty if promotion is not configured. */
    std::string promotionDestination;
};

/** Requests the status of all schedulers of an environment. */
template <typename Fleet>
concept fleet_source = requires(Fleet &fleet, const std::string &environment)
{
    {
        fleet.fetch(environment)
        } -> std::same_as<fleet_statuses>;
};

/** Builds the body of the answer to GET /v1/status. */
nlohmann::json makeStatusBody(const stored_configuration &stored, const fleet_statuses &statuses);

/** Returns the members of a workspace as JSON. */
nlohmann::json toJson(const workspace_definition &workspace);

/** Returns the names of the data centres whose state differs between two documents. */
std::vector<std::string> findChangedDataCentres(const configuration_document &before,
                                                const configuration_document &after);

/**
 * The logic of the administration API: authenticates and authorizes each call and computes its
 * answer. Keeps no state between calls.
 */
template <configuration_store Store, fleet_source Fleet>
class administration_api
{
public:
    /** The store and the fleet must outlive this object. */
    administration_api(administration_options options, operator_registry operators, Store &store,
                       Fleet &fleet)
        : m_options(std::move(options))
        , m_operators(std::move(operators))
        , m_changes(store)
        , m_fleet(fleet)
    {
    }

    /** Returns the answer to a call; errors are answers with a result code other than Ok. */
    administration_answer handle(const administration_request &request)
    {
        const operator_definition *callingOperator = m_operators.find(request.token);
        if (callingOperator == nullptr)
            return makeErrorAnswer(result_code::TokenUnknown);
        administration_answer answer = handleFor(*callingOperator, request);
        answer.callingOperator = callingOperator->name;
        return answer;
    }

    /** Returns the name of the environment to which a call applies. */
    std::string environmentOf(const administration_request &request) const
    {
        if (request.path == "/v1/promote")
            return m_options.promotionDestination;
        return request.parameter("environment", m_options.defaultEnvironment);
    }

private:
    static constexpr int maxWriteAttempts = 5;

    static bool isChange(const administration_request &request)
    {
        return request.path == "/v1/apply" || request.path == "/v1/promote"
            || request.path.starts_with("/v1/data-centres/");
    }

    administration_answer handleFor(const operator_definition &callingOperator,
                                    const administration_request &request)
    {
        if (isChange(request) && callingOperator.role != operator_role::Write)
            return makeErrorAnswer(result_code::RoleInsufficient);
        const auto environment = m_options.environments.find(environmentOf(request));
        if (environment == m_options.environments.end())
            return makeErrorAnswer(result_code::NotFound, "no such environment");
        return dispatch(request, environment->second);
    }

    administration_answer dispatch(const administration_request &request, const std::string &prefix)
    {
        const std::vector<std::string> parts = request.pathParts();
        const auto matches = [&](const char *method, std::initializer_list<const char *> pattern) {
            return request.method == method
                && std::equal(parts.begin(), parts.end(), pattern.begin(), pattern.end(),
                              [](const std::string &part, const std::string &expected) {
                                  return expected == "*" || part == expected;
                              });
        };
        if (matches("POST", {"v1", "validate"}))
            return validate(request);
        if (matches("POST", {"v1", "diff"}))
            return diff(request, prefix);
        if (matches("POST", {"v1", "apply"}))
            return apply(request, prefix);
        if (matches("POST", {"v1", "promote"}))
            return promote(request, prefix);
        if (matches("POST", {"v1", "data-centres", "*", "out"}))
            return setDataCentre(request, prefix, parts[2], data_centre_state::Out);
        if (matches("POST", {"v1", "data-centres", "*", "in"}))
            return setDataCentre(request, prefix, parts[2], data_centre_state::In);
        if (matches("GET", {"v1", "workspaces"}))
            return listWorkspaces(prefix);
        if (matches("GET", {"v1", "workspaces", "*"}))
            return showWorkspace(prefix, parts[2]);
        if (matches("GET", {"v1", "configuration"}))
            return showConfiguration(prefix);
        if (matches("GET", {"v1", "status"}))
            return showStatus(request, prefix);
        return makeErrorAnswer(result_code::NotFound, "no such page or method");
    }

    administration_answer validate(const administration_request &request)
    {
        const document_read_result reading = readDocument(request.body);
        if (!reading.document)
            return makeInvalidDocumentAnswer(reading.faults);
        const std::string text = toCanonicalJson(*reading.document);
        return {.body = {{"valid", true}, {"digest", sha256Hex(text)}, {"bytes", text.size()}}};
    }

    administration_answer diff(const administration_request &request, const std::string &prefix)
    {
        const document_read_result reading = readDocument(request.body);
        if (!reading.document)
            return makeInvalidDocumentAnswer(reading.faults);
        const stored_configuration stored = m_changes.load(prefix);
        if (stored.code != result_code::Ok)
            return makeErrorAnswer(stored.code);
        return {.body
                = {{"revision", stored.revision},
                   {"digest", sha256Hex(toCanonicalJson(*reading.document))},
                   {"changes", toJson(compareDocuments(stored.document, *reading.document))}}};
    }

    administration_answer apply(const administration_request &request, const std::string &prefix)
    {
        const std::optional<std::int64_t> base = request.integerParameter("base");
        if (!base)
            return makeErrorAnswer(result_code::MalformedRequest,
                                   "the parameter base must name the revision that was edited");
        const document_read_result reading = readDocument(request.body);
        if (!reading.document)
            return makeInvalidDocumentAnswer(reading.faults);
        return makeChangeAnswer(m_changes.write({.keyPrefix = prefix,
                                                 .writeId = request.writeId,
                                                 .baseRevision = *base,
                                                 .text = toCanonicalJson(*reading.document)}));
    }

    administration_answer promote(const administration_request &request, const std::string &prefix)
    {
        const std::optional<std::int64_t> base = request.integerParameter("base");
        if (!base || request.parameter("digest").empty())
            return makeErrorAnswer(result_code::MalformedRequest,
                                   "the parameters base (production's revision) and digest (of the "
                                   "document watched in trial) must be given");
        const stored_configuration source
            = m_changes.load(m_options.environments.at(m_options.promotionSource));
        if (source.code != result_code::Ok)
            return makeErrorAnswer(source.code);
        if (source.revision == 0 || source.digest != request.parameter("digest"))
            return makeErrorAnswer(result_code::DigestMismatch, {},
                                   {{"revision", source.revision}, {"digest", source.digest}});
        const stored_configuration destination = m_changes.load(prefix);
        if (destination.code != result_code::Ok)
            return makeErrorAnswer(destination.code);
        const auto changed = findChangedDataCentres(destination.document, source.document);
        if (!changed.empty() && request.parameter("dataCentres") != "accept")
            return makeErrorAnswer(result_code::PromotionChangesDataCentre, {},
                                   {{"dataCentres", changed}});
        return makeChangeAnswer(m_changes.write({.keyPrefix = prefix,
                                                 .writeId = request.writeId,
                                                 .baseRevision = *base,
                                                 .text = source.text}));
    }

    administration_answer setDataCentre(const administration_request &request,
                                        const std::string &prefix, const std::string &name,
                                        data_centre_state state)
    {
        configuration_change_result result;
        for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
            stored_configuration stored = m_changes.load(prefix);
            if (stored.code != result_code::Ok)
                return makeErrorAnswer(stored.code);
            const auto found = std::find_if(
                stored.document.dataCentres.begin(), stored.document.dataCentres.end(),
                [&name](const data_centre_definition &item) { return item.name == name; });
            if (found == stored.document.dataCentres.end())
                return makeErrorAnswer(result_code::NotFound, "no data centre is named " + name);
            if (found->state == state)
                return makeChangeAnswer({result_code::Ok, stored.revision, stored.digest});
            found->state = state;
            result = m_changes.write({.keyPrefix = prefix,
                                      .writeId = request.writeId + "-" + std::to_string(attempt),
                                      .baseRevision = stored.revision,
                                      .text = toCanonicalJson(stored.document)});
            if (result.code != result_code::RevisionConflict)
                break;
        }
        return makeChangeAnswer(result);
    }

    administration_answer listWorkspaces(const std::string &prefix)
    {
        const stored_configuration stored = m_changes.load(prefix);
        if (stored.code != result_code::Ok)
            return makeErrorAnswer(stored.code);
        nlohmann::json workspaces = nlohmann::json::array();
        for (const workspace_definition &workspace : stored.document.workspaces)
            workspaces.push_back({{"name", workspace.name},
                                  {"share", workspace.share},
                                  {"services", workspace.services},
                                  {"dataCentres", workspace.dataCentres},
                                  {"keys", workspace.keyDigests.size()}});
        return {.body = {{"revision", stored.revision}, {"workspaces", workspaces}}};
    }

    administration_answer showWorkspace(const std::string &prefix, const std::string &name)
    {
        const stored_configuration stored = m_changes.load(prefix);
        if (stored.code != result_code::Ok)
            return makeErrorAnswer(stored.code);
        const workspace_definition *workspace = stored.document.findWorkspace(name);
        if (workspace == nullptr)
            return makeErrorAnswer(result_code::NotFound, "no workspace is named " + name);
        return {.body = {{"revision", stored.revision}, {"workspace", toJson(*workspace)}}};
    }

    administration_answer showConfiguration(const std::string &prefix)
    {
        const stored_configuration stored = m_changes.load(prefix);
        if (stored.code != result_code::Ok)
            return makeErrorAnswer(stored.code);
        const auto document
            = stored.revision == 0 ? nlohmann::json() : nlohmann::json::parse(stored.text);
        return {
            .body
            = {{"revision", stored.revision}, {"digest", stored.digest}, {"document", document}}};
    }

    administration_answer showStatus(const administration_request &request,
                                     const std::string &prefix)
    {
        const fleet_statuses statuses = m_fleet.fetch(environmentOf(request));
        return {.body = makeStatusBody(m_changes.load(prefix), statuses)};
    }

    static administration_answer makeInvalidDocumentAnswer(const std::vector<json_fault> &faults)
    {
        return makeErrorAnswer(result_code::DocumentInvalid, {}, {{"faults", toJson(faults)}});
    }

    static administration_answer makeChangeAnswer(const configuration_change_result &result)
    {
        if (result.code == result_code::RevisionConflict)
            return makeErrorAnswer(result.code, {},
                                   {{"revision", result.revision}, {"digest", result.digest}});
        if (result.code != result_code::Ok)
            return makeErrorAnswer(result.code);
        return {.body
                = {{"accepted", true}, {"revision", result.revision}, {"digest", result.digest}},
                .acceptedRevision = result.revision};
    }

    const administration_options m_options;
    const operator_registry m_operators;
    configuration_changes<Store> m_changes;
    Fleet &m_fleet;
};

} // namespace quetzal
