#include "apps/edge/event_log.h"

#include "apps/edge/edge_clock.h"

#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace quetzal {

namespace {

constexpr std::size_t maxBufferedBytes = std::size_t {256} * 1024;
/** Readers may keep only the beginning of a longer write. */
constexpr std::size_t maxWriteBytes = 4096;
constexpr std::chrono::milliseconds flushInterval {250};
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

/** Returns the length of the whole lines at the start of a text that fit into one write. */
std::size_t nextWrite(std::string_view text)
{
    if (text.size() <= maxWriteBytes)
        return text.size();
    const std::size_t lineEnd = text.rfind('\n', maxWriteBytes - 1);
    return lineEnd == std::string_view::npos ? maxWriteBytes : lineEnd + 1;
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
    std::size_t done = 0;
    while (done < m_buffer.size()) {
        const std::size_t count = nextWrite(std::string_view(m_buffer).substr(done));
        const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data() + done, count);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, done);
    if (!m_buffer.empty())
        scheduleFlush();
}

} // namespace quetzal
