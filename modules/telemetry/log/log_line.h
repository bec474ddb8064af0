#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** How much a log line matters; lines below the level of the settings are not written. */
enum class log_level
{
    Debug,
    Info,
    Warning,
    Error,
};

/** The level's name in settings and lines, such as "info". */
std::string toText(log_level level);
/** The level of a name, or nothing when there is none. */
std::optional<log_level> parseLogLevel(const std::string &name);

using log_value = std::variant<bool, std::int64_t, double, std::string>;

/** One typed member of a log line. */
struct log_field
{
    std::string name;
    log_value value;

    bool operator==(const log_field &) const = default;
};

/** What a line is about. */
struct log_context
{
    std::string requestId;
    std::string traceId;

    bool operator==(const log_context &) const = default;
};

/** One log line before formatting. */
struct log_line
{
    absl::Time time;
    log_level level = log_level::Info;
    std::string program;
    std::string vm;
    std::string message;
    log_context context;
    std::vector<log_field> fields;

    bool operator==(const log_line &) const = default;
};

/**
 * The line as one JSON object without a line break.
 *
 * Values of fields whose name tells of a secret or of a caller's content (authorization, key,
 * token, prompt, body, content, document) are replaced by "[redacted]". Text that is not UTF-8 is
 * written with replacement characters; texts are cut at 4096 bytes.
 */
std::string toJson(const log_line &line);

} // namespace quetzal
