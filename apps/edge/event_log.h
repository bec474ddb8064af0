#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

class event_log;

/** Builder for one log line, which is added to the log on destruction. */
class event_line
{
public:
    event_line(event_log &log, std::string_view event);
    ~event_line();
    event_line(const event_line &) = delete;
    event_line &operator=(const event_line &) = delete;

    /** Adds a string; quotes and backslashes are escaped, all but printable ASCII becomes '?'. */
    event_line &text(std::string_view name, std::string_view value);
    /** Adds an integer. */
    event_line &number(std::string_view name, std::int64_t value);
    /** Adds a boolean. */
    event_line &flag(std::string_view name, bool value);

private:
    event_log &m_log;
    std::string m_line;
};

/**
 * Writes events as JSON lines to standard output, in batches and without blocking: while the reader
 * is too slow and the buffer is full, lines are dropped and counted.
 */
class event_log
{
public:
    /** Makes standard output non-blocking. @param vm written to every line */
    event_log(boost::asio::io_context &loop, std::string vm);

    /** Starts a line for an event. */
    event_line line(std::string_view event) { return event_line(*this, event); }
    /** Returns the number of dropped lines. */
    std::uint64_t droppedCount() const { return m_dropped; }
    /** Writes as many buffered bytes as standard output accepts without blocking. */
    void flush();

private:
    friend class event_line;
    void add(const std::string &line);
    void scheduleFlush();

    boost::asio::steady_timer m_timer;
    std::string m_vm;
    std::string m_buffer;
    bool m_isFlushScheduled = false;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace quetzal
