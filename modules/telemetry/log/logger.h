#pragma once

#include "telemetry/log/log_line.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

/** Options of logger. */
struct logger_options
{
    std::string program;
    std::string vm;
    log_level level = log_level::Info;
    /** Takes each finished line without its line break; empty for standard error. */
    std::function<void(const std::string &)> writeLine;
};

/**
 * Writes log lines as JSON, one object a line, through spdlog.
 *
 * Lines are queued and written by a thread of its own, so that a reader that has stopped reading
 * standard error holds up nobody; when the queue is full the oldest lines are dropped. Thread-safe.
 */
class logger
{
public:
    explicit logger(logger_options options);
    /** Writes what is queued. */
    ~logger();
    logger(const logger &) = delete;
    logger &operator=(const logger &) = delete;

    void debug(const std::string &message, std::vector<log_field> fields = {},
               log_context context = {});
    void info(const std::string &message, std::vector<log_field> fields = {},
              log_context context = {});
    void warning(const std::string &message, std::vector<log_field> fields = {},
                 log_context context = {});
    void error(const std::string &message, std::vector<log_field> fields = {},
               log_context context = {});
    void write(log_level level, const std::string &message, std::vector<log_field> fields,
               log_context context);

    /** True when lines of this level are written. */
    bool isEnabled(log_level level) const;
    /** Lines dropped because the queue was full. */
    std::uint64_t dropped() const;

private:
    class backend;
    logger_options m_options;
    std::unique_ptr<backend> m_backend;
};

} // namespace quetzal
