#include "telemetry/log/logger.h"

#include <absl/time/clock.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t maxQueuedLines = 8192;
constexpr std::size_t writerThreads = 1;

/** A sink that passes each line to a function. */
class function_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit function_sink(std::function<void(const std::string &)> writeLine)
        : m_writeLine(std::move(writeLine))
    {
    }

protected:
    void
    sink_it_(const spdlog::details::log_msg &line) override // NOLINT(readability-identifier-naming)
    {
        m_writeLine(std::string(line.payload.data(), line.payload.size()));
    }
    void flush_() override { } // NOLINT(readability-identifier-naming)

private:
    std::function<void(const std::string &)> m_writeLine;
};

spdlog::sink_ptr makeSink(const logger_options &options)
{
    if (options.writeLine)
        return std::make_shared<function_sink>(options.writeLine);
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    sink->set_pattern("%v");
    return sink;
}

spdlog::level::level_enum toSpdlog(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return spdlog::level::debug;
    case log_level::Info:
        return spdlog::level::info;
    case log_level::Warning:
        return spdlog::level::warn;
    case log_level::Error:
        break;
    }
    return spdlog::level::err;
}

} // namespace

/** Owns the spdlog objects of a logger. */
class logger::backend
{
public:
    explicit backend(const logger_options &options)
        : m_pool(std::make_shared<spdlog::details::thread_pool>(maxQueuedLines, writerThreads))
        , m_logger(
              std::make_shared<spdlog::async_logger>(options.program, makeSink(options), m_pool,
                                                     spdlog::async_overflow_policy::overrun_oldest))
    {
        m_logger->set_level(toSpdlog(options.level));
        m_logger->flush_on(spdlog::level::err);
    }

    spdlog::async_logger &log() { return *m_logger; }
    spdlog::details::thread_pool &pool() { return *m_pool; }

private:
    std::shared_ptr<spdlog::details::thread_pool> m_pool;
    std::shared_ptr<spdlog::async_logger> m_logger;
};

logger::logger(logger_options options)
    : m_options(std::move(options))
    , m_backend(std::make_unique<backend>(m_options))
{
}

logger::~logger() = default;

void logger::debug(const std::string &message, std::vector<log_field> fields, log_context context)
{
    write(log_level::Debug, message, std::move(fields), std::move(context));
}

void logger::info(const std::string &message, std::vector<log_field> fields, log_context context)
{
    write(log_level::Info, message, std::move(fields), std::move(context));
}

void logger::warning(const std::string &message, std::vector<log_field> fields, log_context context)
{
    write(log_level::Warning, message, std::move(fields), std::move(context));
}

void logger::error(const std::string &message, std::vector<log_field> fields, log_context context)
{
    write(log_level::Error, message, std::move(fields), std::move(context));
}

void logger::write(log_level level, const std::string &message, std::vector<log_field> fields,
                   log_context context)
{
    if (!isEnabled(level))
        return;
    const log_line line {.time = absl::Now(),
                         .level = level,
                         .program = m_options.program,
                         .vm = m_options.vm,
                         .message = message,
                         .context = std::move(context),
                         .fields = std::move(fields)};
    m_backend->log().log(toSpdlog(level), spdlog::string_view_t(toJson(line)));
}

bool logger::isEnabled(log_level level) const
{
    return level >= m_options.level;
}

std::uint64_t logger::droppedCount() const
{
    return m_backend->pool().overrun_counter();
}

} // namespace quetzal
