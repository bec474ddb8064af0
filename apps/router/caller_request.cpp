#include "apps/router/caller_request.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace quetzal {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maxIdLength = 128;
constexpr std::int64_t maxDeadlineMilliseconds = 3600 * 1000;

const workspace_definition *findWorkspace(const configuration_snapshot &configuration,
                                          const std::string &authorization)
{
    if (!authorization.starts_with(bearer))
        return nullptr;
    return configuration.findWorkspaceByKeyDigest(sha256Hex(authorization.substr(bearer.size())));
}

bool isValidId(const std::string &text)
{
    return text.size() <= maxIdLength
        && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return absl::ascii_isalnum(letter) || letter == '.' || letter == '_'
                   || letter == '-';
           });
}

/** Reads one request in steps. Of several faults it returns the one that it found first. */
class request_reader
{
public:
    request_reader(const http_request_parts &parts, const configuration_snapshot &configuration)
        : m_parts(parts)
        , m_configuration(configuration)
        , m_document(configuration.document)
    {
    }

    std::variant<caller_request, caller_fault> read(const std::string &generatedId,
                                                    absl::Duration defaultDeadline, absl::Time now)
    {
        readWorkspace();
        readService();
        readIdentity(generatedId);
        readDeadline(defaultDeadline, now);
        readHint();
        readKind();
        readIdempotency();
        if (m_fault)
            return *m_fault;
        m_request.description.bytes = static_cast<std::int64_t>(m_parts.body.size());
        return m_request;
    }

private:
    void fail(result_code code, std::string detail)
    {
        if (!m_fault)
            m_fault = caller_fault {code, std::move(detail)};
    }

    void readWorkspace()
    {
        m_workspace = findWorkspace(m_configuration, m_parts.header("Authorization"));
        if (m_workspace == nullptr)
            return fail(result_code::KeyUnknown, "no workspace has this key");
        m_request.description.workspace = m_workspace->name;
    }

    void readService()
    {
        if (m_fault)
            return;
        if (m_parts.path == chatPath)
            readModelService();
        else if (m_parts.path.starts_with(servicePrefix))
            readPlainService();
        if (m_fault)
            return;
        if (m_service == nullptr)
            return fail(result_code::ServiceUnknown, "no such service: " + m_parts.path);
        const auto &allowed = m_workspace->services;
        if (std::find(allowed.begin(), allowed.end(), m_service->name) == allowed.end())
            return fail(result_code::ServiceNotAllowed, "the workspace may not call this service");
        m_request.description.service = m_service->name;
    }

    void readModelService()
    {
        if (m_parts.method != "POST")
            return fail(result_code::MalformedRequest, "only POST is allowed here");
        const nlohmann::json body = nlohmann::json::parse(m_parts.body, nullptr, false);
        const bool wellFormed = body.is_object() && body.contains("model")
            && body["model"].is_string() && body.contains("messages")
            && body["messages"].is_array();
        if (!wellFormed)
            return fail(result_code::MalformedRequest,
                        "the body must be a JSON object with model and messages");
        if (body.contains("stream") && !body["stream"].is_boolean())
            return fail(result_code::MalformedRequest, "stream must be true or false");
        m_request.isModel = true;
        m_request.isStream = body.value("stream", false);
        m_request.targetPath = chatPath;
        const auto model = body["model"].get<std::string>();
        for (const service_definition &service : m_document.services) {
            const auto &models = service.models;
            if (std::find(models.begin(), models.end(), model) != models.end())
                m_service = &service;
        }
    }

    void readPlainService()
    {
        const std::string rest = m_parts.path.substr(servicePrefix.size());
        const std::size_t slash = rest.find('/');
        const std::string name = rest.substr(0, slash);
        m_request.targetPath = slash == std::string::npos ? "/" : rest.substr(slash);
        const service_definition *found = m_document.findService(name);
        if (found != nullptr && found->kind == service_kind::Plain)
            m_service = found;
    }

    void readIdentity(const std::string &generatedId)
    {
        m_request.callerRequestId = m_parts.header("Quetzal-Request-Id");
        if (m_request.callerRequestId.empty())
            m_request.callerRequestId = generatedId;
        if (!isValidId(m_request.callerRequestId))
            fail(result_code::HeaderInvalid,
                 "Quetzal-Request-Id must have 1 to 128 characters of [A-Za-z0-9._-]");
    }

    void readDeadline(absl::Duration defaultDeadline, absl::Time now)
    {
        m_request.description.deadline = now + defaultDeadline;
        const std::string text = m_parts.header("Quetzal-Deadline-Ms");
        if (text.empty())
            return;
        std::int64_t milliseconds = 0;
        const bool valid = absl::SimpleAtoi(text, &milliseconds) && milliseconds >= 1
            && milliseconds <= maxDeadlineMilliseconds;
        if (!valid)
            return fail(result_code::HeaderInvalid,
                        "Quetzal-Deadline-Ms must be an integer from 1 to 3600000");
        m_request.description.deadline = now + absl::Milliseconds(milliseconds);
    }

    void readHint()
    {
        const std::string text = m_parts.header("Quetzal-Cost-Hint");
        if (text.empty())
            return;
        double hint = 0.0;
        constexpr double maxHint = 1e9;
        if (!absl::SimpleAtod(text, &hint) || !(hint > 0.0) || hint > maxHint)
            return fail(result_code::HeaderInvalid, "Quetzal-Cost-Hint must be a positive number");
        m_request.description.hint = hint;
    }

    void readKind()
    {
        if (m_fault)
            return;
        const call_rule *rule = matchingRule();
        if (rule != nullptr) {
            m_request.description.requestKind = rule->requestKind;
            m_request.description.idempotent = rule->idempotent;
        }
        if (m_request.isModel)
            m_request.description.idempotent = true;
        const std::string kind = m_parts.header("Quetzal-Request-Kind");
        if (kind.empty())
            return;
        const auto &kinds = m_service->requestKinds;
        const bool known = std::any_of(kinds.begin(), kinds.end(),
                                       [&kind](const auto &item) { return item.name == kind; });
        if (!known)
            return fail(result_code::HeaderInvalid,
                        "Quetzal-Request-Kind names no kind of this service");
        if (m_request.description.requestKind.empty())
            m_request.description.requestKind = kind;
    }

    const call_rule *matchingRule() const
    {
        for (const call_rule &rule : m_service->calls) {
            const bool methodMatches = rule.method == "*" || rule.method == m_parts.method;
            if (methodMatches && m_request.targetPath.starts_with(rule.pathPrefix))
                return &rule;
        }
        return nullptr;
    }

    void readIdempotency()
    {
        const std::string text = m_parts.header("Quetzal-Idempotent");
        if (text.empty() || text == "true")
            return;
        if (text != "false")
            return fail(result_code::HeaderInvalid, "Quetzal-Idempotent must be true or false");
        m_request.description.idempotent = false;
    }

    const http_request_parts &m_parts;
    const configuration_snapshot &m_configuration;
    const configuration_document &m_document;
    const workspace_definition *m_workspace = nullptr;
    const service_definition *m_service = nullptr;
    caller_request m_request;
    std::optional<caller_fault> m_fault;
};

} // namespace

std::variant<caller_request, caller_fault>
readCallerRequest(const http_request_parts &parts, const configuration_snapshot &configuration,
                  const std::string &generatedId, absl::Duration defaultDeadline, absl::Time now)
{
    return request_reader(parts, configuration).read(generatedId, defaultDeadline, now);
}

} // namespace quetzal
