#include "apps/edge/event_log.h"

#include "apps/edge/edge_clock.h"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t maxBufferedBytes = std::size_t {256} * 1024;
constexpr std::chrono::milliseconds flushInterval {250};
/** The bytes of one write; readers of the output take no more of it. */
constexpr std::size_t maxBytesPerWrite = 4096;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char firstNonAscii = 0x7f;

void appendQuoted(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else {
            line += byte < firstPrintable || byte >= firstNonAscii ? '?' : character;
        }
    }
    line += '"';
}

} // namespace

event_line::event_line(event_log &log, std::string_view event)
    : m_log(log)
    , m_line("{\"timeMs\":" + std::to_string(timeOfDayMs()))
{
    text("vm", log.m_vm);
    text("event", event);
}

event_line::~event_line()
{
    m_line += "}\n";
    m_log.add(m_line);
}

event_line &event_line::text(std::string_view name, std::string_view value)
{
    m_line += ',';
    appendQuoted(m_line, name);
    m_line += ':';
    appendQuoted(m_line, value);
    return *this;
}

event_line &event_line::number(std::string_view name, std::int64_t value)
{
    m_line += ',';
    appendQuoted(m_line, name);
    m_line += ':';
    m_line += std::to_string(value);
    return *this;
}

event_line &event_line::flag(std::string_view name, bool value)
{
    m_line += ',';
    appendQuoted(m_line, name);
    m_line += value ? ":true" : ":false";
    return *this;
}

event_log::event_log(boost::asio::io_context &loop, std::string vm)
    : m_timer(loop)
    , m_vm(std::move(vm))
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void event_log::add(const std::string &line)
{
    if (m_buffer.size() + line.size() > maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_buffer += line;
    scheduleFlush();
}

void event_log::scheduleFlush()
{
    if (m_isFlushScheduled)
        return;
    m_isFlushScheduled = true;
    m_timer.expires_after(flushInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        m_isFlushScheduled = false;
        if (!error)
            flush();
    });
}

void event_log::flush()
{
    if (m_dropped > m_droppedReported) {
        const std::uint64_t dropped = std::exchange(m_droppedReported, m_dropped);
        line("log_lines_dropped").number("total", static_cast<std::int64_t>(m_dropped - dropped));
    }
    std::size_t offset = 0;
    while (offset < m_buffer.size()) {
        const std::size_t count = std::min(m_buffer.size() - offset, maxBytesPerWrite);
        const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data() + offset, count);
        if (written <= 0)
            break;
        offset += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, offset);
    if (!m_buffer.empty())
        scheduleFlush();
}

} // namespace quetzal
