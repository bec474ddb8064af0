#pragma once

#include "telemetry/log/log_line.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

/** Options of a logger. */
struct logger_options
{
    std::string program;
    std::string vm;
    /** Minimum level of the lines that are written. */
    log_level level = log_level::Info;
    /** Receives each formatted line without a line break; empty to write to standard error. */
    std::function<void(const std::string &)> writeLine;
};

/**
 * Writes log lines through spdlog, each as one JSON object.
 *
 * Lines are queued and written by a separate thread, so that callers are not blocked when the
 * reader of standard error stops reading. If the queue is full, the oldest lines are dropped.
 * Thread-safe.
 */
class logger
{
public:
    explicit logger(logger_options options);
    /** Writes the queued lines. */
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

    /** True if lines of this level are written. */
    bool isEnabled(log_level level) const;
    /** Returns the number of lines dropped because the queue was full. */
    std::uint64_t droppedCount() const;

private:
    class backend;
    logger_options m_options;
    std::unique_ptr<backend> m_backend;
};

} // namespace quetzal
