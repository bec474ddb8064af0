#include "telemetry/log/log_line.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace quetzal {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t maxTextBytes = 4096;
constexpr const char *redacted = "[redacted]";

constexpr std::array<std::pair<log_level, const char *>, 4> levelNames {
    {{log_level::Debug, "debug"},
     {log_level::Info, "info"},
     {log_level::Warning, "warning"},
     {log_level::Error, "error"}}};

constexpr std::array<const char *, 8> secretWords {"authorization", "key",     "keys",   "token",
                                                   "prompt",        "content", "secret", "body"};

/** True if the name is the word, or ends with it in camel case or after '_' or '-'. */
bool endsWithWord(const std::string &name, const std::string &word)
{
    const std::string lower = absl::AsciiStrToLower(name);
    if (lower == word)
        return true;
    std::string capitalised = word;
    capitalised.front() = absl::ascii_toupper(capitalised.front());
    return absl::EndsWith(name, capitalised) || absl::EndsWith(lower, "_" + word)
        || absl::EndsWith(lower, "-" + word);
}

bool isSecret(const std::string &name)
{
    return std::any_of(secretWords.begin(), secretWords.end(),
                       [&name](const char *word) { return endsWithWord(name, word); });
}

ordered_json toJsonValue(const log_field &field)
{
    if (isSecret(field.name))
        return redacted;
    if (const auto *text = std::get_if<std::string>(&field.value))
        return text->substr(0, maxTextBytes);
    return std::visit([](const auto &value) { return ordered_json(value); }, field.value);
}

} // namespace

std::string toText(log_level level)
{
    for (const auto &[candidate, name] : levelNames) {
        if (candidate == level)
            return name;
    }
    return "info";
}

std::optional<log_level> parseLogLevel(const std::string &name)
{
    for (const auto &[level, candidate] : levelNames) {
        if (name == candidate)
            return level;
    }
    return std::nullopt;
}

std::string toJson(const log_line &line)
{
    ordered_json object;
    object["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", line.time, absl::UTCTimeZone());
    object["level"] = toText(line.level);
    object["program"] = line.program;
    object["vm"] = line.vm;
    object["message"] = line.message.substr(0, maxTextBytes);
    if (!line.context.requestId.empty())
        object["requestId"] = line.context.requestId;
    if (!line.context.traceId.empty())
        object["traceId"] = line.context.traceId;
    for (const log_field &field : line.fields) {
        if (!object.contains(field.name))
            object[field.name] = toJsonValue(field);
    }
    constexpr int noIndent = -1;
    return object.dump(noIndent, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace quetzal
