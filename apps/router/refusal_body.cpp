#include "apps/router/refusal_body.h"

#include <nlohmann/json.hpp>

namespace quetzal {

namespace {

const char *nameOf(execution_state execution)
{
    switch (execution) {
    case execution_state::NotRun:
        return "not_run";
    case execution_state::OutcomeUnknown:
        return "outcome_unknown";
    case execution_state::Run:
        return "run";
    }
    return "outcome_unknown";
}

} // namespace

std::string refusalBody(const finish_request &finish, const std::string &callerRequestId,
                        const std::string &detail)
{
    const result_code_entry &entry = describe(finish.code);
    std::string message(entry.meaning);
    if (!detail.empty())
        message += " (" + detail + ")";
    const nlohmann::json error = {{"code", static_cast<int>(finish.code)},
                                  {"name", entry.name},
                                  {"message", message},
                                  {"execution", nameOf(finish.execution)},
                                  {"requestId", callerRequestId}};
    return nlohmann::json {{"error", error}}.dump();
}

} // namespace quetzal
