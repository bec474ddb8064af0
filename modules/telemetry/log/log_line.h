#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** The severity of a log line; lines below the configured level are not written. */
enum class log_level
{
    Debug,
    Info,
    Warning,
    Error,
};

/** Returns the name of a level as used in settings and log lines, such as "info". */
std::string toText(log_level level);
/** Returns the level with the given name; std::nullopt if there is none. */
std::optional<log_level> parseLogLevel(const std::string &name);

/** The value of a log field or span attribute. */
using log_value = std::variant<bool, std::int64_t, double, std::string>;

/** A named, typed member of a log line. */
struct log_field
{
    std::string name;
    log_value value;

    bool operator==(const log_field &) const = default;
};

/** The request and trace to which a line belongs; empty members are omitted from the line. */
struct log_context
{
    std::string requestId;
    std::string traceId;

    bool operator==(const log_context &) const = default;
};

/** A log line before formatting. */
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
 * Formats a line as one JSON object without a line break.
 *
 * The value of a field is replaced by "[redacted]" if its name indicates a secret or content of a
 * caller (authorization, key, keys, token, prompt, content, secret, body). Invalid UTF-8 is
 * replaced by replacement characters, and texts are truncated to 4096 bytes. A field with the name
 * of an earlier member is omitted.
 */
std::string toJson(const log_line &line);

} // namespace quetzal
