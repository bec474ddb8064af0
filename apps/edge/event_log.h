#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzal {

class event_log;

/** One line of the log under construction; it is written when it goes out of scope. */
class event_line
{
public:
    event_line(event_log &log, std::string_view event);
    ~event_line();
    event_line(const event_line &) = delete;
    event_line &operator=(const event_line &) = delete;

    event_line &text(std::string_view name, std::string_view value);
    event_line &number(std::string_view name, std::int64_t value);
    event_line &flag(std::string_view name, bool value);

private:
    event_log &m_log;
    std::string m_line;
};

/**
 * Writes events as JSON lines to standard output, a batch at a time, without ever waiting for the
 * reader: lines that find the buffer full are counted and left out.
 */
class event_log
{
public:
    event_log(boost::asio::io_context &loop, std::string vm);

    event_line line(std::string_view event) { return event_line(*this, event); }
    /** Lines that were left out. */
    std::uint64_t dropped() const { return m_dropped; }
    /** Writes what the reader takes at once. */
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
