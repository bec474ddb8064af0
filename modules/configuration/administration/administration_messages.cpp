#include "configuration/administration/administration_messages.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace quetzal {

std::string administration_request::parameter(const std::string &name,
                                              const std::string &fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

std::optional<std::int64_t> administration_request::integerParameter(const std::string &name) const
{
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(parameter(name), &value) || value < 0)
        return std::nullopt;
    return value;
}

std::vector<std::string> administration_request::pathParts() const
{
    return absl::StrSplit(path, '/', absl::SkipEmpty());
}

administration_answer makeErrorAnswer(result_code code, const std::string &message,
                                      const nlohmann::json &details)
{
    const result_code_entry &entry = describe(code);
    nlohmann::json error = details;
    error["code"] = static_cast<int>(code);
    error["name"] = entry.name;
    error["message"] = message.empty() ? std::string(entry.meaning) : message;
    error["whatToDo"] = entry.whatToDo;
    return {.code = code,
            .body = {{"error", error}},
            .acceptedRevision = std::nullopt,
            .callingOperator = {}};
}

nlohmann::json toJson(const std::vector<json_fault> &faults)
{
    nlohmann::json result = nlohmann::json::array();
    for (const json_fault &fault : faults)
        result.push_back({{"path", fault.path}, {"problem", fault.problem}});
    return result;
}

} // namespace quetzal
