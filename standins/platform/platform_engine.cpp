#include "standins/platform/platform_engine.h"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <sys/socket.h>

namespace quetzal::standins {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int lastEvent = 8;
constexpr int truncatedEvent = 4;
constexpr std::chrono::milliseconds eventInterval {5};
constexpr std::chrono::milliseconds slowAnswerStep {20};
constexpr std::chrono::milliseconds slowAnswerTime {2000};
constexpr std::chrono::milliseconds trickleInterval {100};
constexpr std::size_t largeAnswerBytes = 900000;

void write(tcp::socket &socket, const std::string &bytes)
{
    error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

bool isPeerDisconnected(tcp::socket &socket)
{
    char next = 0;
    return recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece" + std::to_string(number) + "\n\n";
}

/** Returns the number after a prefix of a behaviour, such as 500 of "wait=500"; else nothing. */
std::optional<int> numberAfter(const std::string &prefix, const std::string &behaviour)
{
    if (!behaviour.starts_with(prefix))
        return std::nullopt;
    return std::stoi(behaviour.substr(prefix.size()));
}

/** Returns a refusal with these additional header fields. */
std::string refusalText(const std::string &fields)
{
    return "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

} // namespace

platform_engine::platform_engine(std::string id, const std::string &ip)
    : m_id(std::move(id))
    , m_ip(ip)
    , m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::make_address_v4(ip), 0))
    , m_port(m_acceptor.local_endpoint().port())
    , m_acceptThread([this] { accept(); })
{
}

platform_engine::~platform_engine()
{
    m_isStopping = true;
    shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[handle, connectionCount] : m_openSockets)
            shutdown(handle, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

std::string platform_engine::entry(const std::string &service, const std::string &state) const
{
    return nlohmann::json {{"service", service},
                           {"address", m_ip + ":" + std::to_string(m_port)},
                           {"zone", "north"},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", state},
                           {"coldRemainingMs", 0},
                           {"sequence", 1},
                           {"born", 1}}
        .dump();
}

std::vector<engine_arrival> platform_engine::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

void platform_engine::accept()
{
    while (!m_isStopping) {
        tcp::socket socket(m_loop);
        error_code error;
        m_acceptor.accept(socket, error);
        if (error)
            return;
        const std::lock_guard lock(m_mutex);
        ++m_openSockets[socket.native_handle()];
        m_threads.emplace_back([this, socket = std::move(socket)]() mutable {
            const int handle = socket.native_handle();
            serve(std::move(socket));
            const std::lock_guard ended(m_mutex);
            m_openSockets.erase(handle);
        });
    }
}

void platform_engine::serve(tcp::socket socket)
{
    std::string input;
    std::array<char, 8192> buffer {};
    while (!m_isStopping) {
        request_reader request({.headBytes = 65536, .bodyBytes = 10000000});
        while (!request.isComplete()) {
            input.erase(0, request.consume(input));
            if (request.isComplete())
                break;
            error_code error;
            const std::size_t count = socket.read_some(boost::asio::buffer(buffer), error);
            if (error || request.fault() != request_fault::None)
                return;
            input.append(buffer.data(), count);
        }
        if (!answer(socket, request))
            return;
    }
}

std::size_t platform_engine::recordArrival(const request_reader &request, bool executed)
{
    const header_fields &fields = request.head().fields;
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back({.requestId = std::string(fields.valueOf("X-Attempt-Id")),
                          .lastEventId = std::string(fields.valueOf("Last-Event-Id")),
                          .tenant = std::string(fields.valueOf("X-Tenant")),
                          .body = request.body(),
                          .executed = executed});
    return m_arrivals.size() - 1;
}

std::optional<std::string> platform_engine::refusalOf(const header_fields &fields,
                                                      const std::string &behaviour,
                                                      const std::string &idField) const
{
    if (fields.valueOf("X-Expect-Instance") != m_id)
        return "HTTP/1.1 421 Misdirected Request\r\n" + idField + "Content-Length: 0\r\n\r\n";
    if (behaviour == "refuse")
        return refusalText(idField);
    if (behaviour == "refuse-for-a-second")
        return refusalText("Retry-After: 1.0\r\n" + idField);
    if (behaviour == "leave-refusing")
        return refusalText("Server-Leaving: 1\r\n" + idField);
    return std::nullopt;
}

bool platform_engine::answer(tcp::socket &socket, const request_reader &request)
{
    const header_fields &fields = request.head().fields;
    const std::string behaviour(fields.valueOf("X-Test-Do"));
    const std::string id = "X-Attempt-Id: " + std::string(fields.valueOf("X-Attempt-Id")) + "\r\n";
    if (const auto refusal = refusalOf(fields, behaviour, id)) {
        recordArrival(request, false);
        write(socket, *refusal);
        return true;
    }
    const std::size_t arrival = recordArrival(request, true);
    const std::string responseHead = "HTTP/1.1 200 OK\r\nX-Server-Stamp: " + m_id
        + "\r\nKeep-Alive: timeout=5\r\n" + (behaviour == "leave" ? "Server-Leaving: 1\r\n" : "")
        + id;
    const std::string body = "answer to " + request.body()
        + std::string(behaviour == "large" ? largeAnswerBytes : 0, '.');
    const std::string fullResponse
        = responseHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (behaviour == "lose")
        return false;
    if (behaviour == "garble") {
        write(socket, "\x01\x02 nonsense\r\n\r\n");
        return false;
    }
    if (behaviour == "truncate") {
        write(socket, fullResponse.substr(0, fullResponse.size() - 3));
        return false;
    }
    if (behaviour.starts_with("stale-refusal")) {
        write(socket, refusalText(behaviour == "stale-refusal" ? "X-Attempt-Id: earlier\r\n" : ""));
        std::this_thread::sleep_for(slowAnswerStep);
        write(socket, fullResponse);
        return true;
    }
    if (behaviour == "head-only") {
        write(socket, responseHead);
        return false;
    }
    if (behaviour == "extra") {
        write(socket, fullResponse + fullResponse);
        return true;
    }
    if (behaviour.starts_with("endless-")) {
        sendEndlessly(socket, behaviour, id, arrival);
        return false;
    }
    if (behaviour == "flood") {
        flood(socket, responseHead, arrival);
        return false;
    }
    if (behaviour == "broken-then-error" && !fields.valueOf("Last-Event-Id").empty()) {
        write(socket,
              "HTTP/1.1 500 Error\r\nX-Server-Stamp: " + m_id + "\r\n" + id
                  + "Content-Length: 12\r\n\r\nerror's text");
        return true;
    }
    if (const auto count = numberAfter("trickle=", behaviour)) {
        trickle(socket, responseHead, *count, arrival);
        return false;
    }
    if (behaviour == "events" || behaviour.starts_with("broken")) {
        streamEvents(socket, responseHead, request.head(), arrival);
        return false;
    }
    const auto waitMs = numberAfter("wait=", behaviour);
    const auto loseMs = numberAfter("lose=", behaviour);
    std::chrono::milliseconds wait {waitMs.value_or(loseMs.value_or(0))};
    if (behaviour == "slow")
        wait = slowAnswerTime;
    if (!waitWhileConnected(socket, wait, arrival) || loseMs)
        return false;
    write(socket, fullResponse);
    return true;
}

bool platform_engine::waitWhileConnected(tcp::socket &socket, std::chrono::milliseconds time,
                                         std::size_t arrival)
{
    for (auto left = time; left.count() > 0 && !m_isStopping; left -= slowAnswerStep) {
        std::this_thread::sleep_for(slowAnswerStep);
        if (isPeerDisconnected(socket)) {
            const std::lock_guard lock(m_mutex);
            m_arrivals[arrival].callerDisconnected = true;
            return false;
        }
    }
    return true;
}

void platform_engine::trickle(tcp::socket &socket, const std::string &head, int count,
                              std::size_t arrival)
{
    write(socket, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= count; ++number) {
        write(socket, toChunk(eventText(number)));
        if (!waitWhileConnected(socket, trickleInterval, arrival))
            return;
    }
    write(socket, std::string(lastChunk));
}

void platform_engine::sendEndlessly(tcp::socket &socket, const std::string &behaviour,
                                    const std::string &idField, std::size_t arrival)
{
    const std::string filler(16384, 'x');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string stamp = "X-Server-Stamp: " + m_id + "\r\n";
    std::string begin;
    std::string repeated = filler;
    if (behaviour == "endless-fields") {
        begin = "HTTP/1.1 200 OK\r\n";
        repeated = "X-Filler: " + std::string(64, 'x') + "\r\n";
    } else if (behaviour == "endless-interim") {
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    } else if (behaviour == "endless-error") {
        begin = "HTTP/1.1 500 Error\r\n" + stamp + idField + chunked;
        repeated = toChunk(filler);
    } else if (behaviour == "endless-other") {
        begin = "HTTP/1.1 200 OK\r\n" + stamp + "X-Attempt-Id: another\r\n" + chunked;
        repeated = toChunk(filler);
    } else if (behaviour == "endless-event") {
        begin = "HTTP/1.1 200 OK\r\n" + stamp + idField + "Content-Type: text/event-stream\r\n"
            + chunked;
        repeated = toChunk(filler);
    } else if (behaviour == "endless-chunk-line") {
        begin = "HTTP/1.1 200 OK\r\n" + stamp + idField + chunked + "5;";
    } else if (behaviour == "endless-trailer") {
        begin = "HTTP/1.1 200 OK\r\n" + stamp + idField + chunked + "2\r\nok\r\n0\r\n";
        repeated = "X-Filler: " + std::string(64, 'x') + "\r\n";
    }
    write(socket, begin);
    error_code error;
    while (!error && !m_isStopping) {
        const std::size_t written
            = boost::asio::write(socket, boost::asio::buffer(repeated), error);
        const std::lock_guard lock(m_mutex);
        m_arrivals[arrival].sentBytes += written;
        m_arrivals[arrival].callerDisconnected = static_cast<bool>(error);
    }
}

void platform_engine::flood(tcp::socket &socket, const std::string &head, std::size_t arrival)
{
    constexpr std::size_t chunkBytes = 16384;
    constexpr int chunks = 4096;
    write(socket, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = toChunk("data: " + std::string(chunkBytes, 'x') + "\n\n");
    for (int number = 0; number < chunks && !m_isStopping; ++number) {
        error_code error;
        const std::size_t written = boost::asio::write(socket, boost::asio::buffer(chunk), error);
        const std::lock_guard lock(m_mutex);
        m_arrivals[arrival].sentBytes += written;
        if (error)
            return;
    }
}

void platform_engine::streamEvents(tcp::socket &socket, const std::string &head,
                                   const request_head &request, std::size_t arrival)
{
    const std::string last(request.fields.valueOf("Last-Event-Id"));
    const bool isTruncated = request.fields.valueOf("X-Test-Do") != "events" && last.empty();
    write(socket, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= lastEvent; ++number) {
        const std::string text = eventText(number);
        if (isTruncated && number == truncatedEvent) {
            write(socket, toChunk(text.substr(0, text.size() / 2)));
            return;
        }
        write(socket, toChunk(text));
        std::this_thread::sleep_for(eventInterval);
        if (isPeerDisconnected(socket)) {
            const std::lock_guard lock(m_mutex);
            m_arrivals[arrival].callerDisconnected = true;
            return;
        }
    }
    write(socket, std::string(lastChunk));
}

} // namespace quetzal::standins
