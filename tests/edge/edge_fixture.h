#pragma once

#include "apps/edge/edge_process.h"
#include "standins/platform/platform_engine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>

namespace quetzal::standins {

using boost::asio::ip::tcp;

inline constexpr std::chrono::seconds testTimeout {10};
inline constexpr std::chrono::milliseconds pollPause {10};

inline constexpr char configurationText[] = R"({"version":VERSION,"routes":[
    {"name":"safe","host":"h","prefix":"/safe/","routeKind":"safe","timeoutMs":TIMEOUT,"service":"s","maxAttempts":2},
    {"name":"once","host":"h","prefix":"/once/","routeKind":"unsafe","timeoutMs":TIMEOUT,"service":"s","maxAttempts":2},
    {"name":"stream","host":"h","prefix":"/stream/","routeKind":"streaming","timeoutMs":TIMEOUT,"service":"s","maxAttempts":2},
    {"name":"resume","host":"h","prefix":"/resume/","routeKind":"streaming","timeoutMs":TIMEOUT,"service":"s","maxAttempts":2,"resumable":true}],
    "services":[{"name":"s","maxConnections":60}],
    "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":1000,"idleTimeoutMs":5000},
    "tenants":[{"name":"t","apiKeys":["k"]}]})";

inline std::string configuration(int version, int timeoutMs = 3000)
{
    std::string text = configurationText;
    text.replace(text.find("VERSION"), 7, std::to_string(version));
    for (std::size_t at = text.find("TIMEOUT"); at != std::string::npos; at = text.find("TIMEOUT"))
        text.replace(at, 7, std::to_string(timeoutMs));
    return text;
}

inline bool eventually(const std::function<bool()> &isTrue)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (isTrue())
            return true;
        std::this_thread::sleep_for(pollPause);
    }
    return false;
}

/** Blocking connection of a caller. */
class caller
{
public:
    /**
     * A small receive buffer, in bytes, makes the kernel hold few unread bytes, with segments as on
     * an ordinary link; 0 for its own.
     */
    explicit caller(const network_address &address, int receiveBuffer = 0)
        : m_socket(m_loop, tcp::v4())
    {
        if (receiveBuffer > 0) {
            constexpr int segmentBytes = 1448;
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
            setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segmentBytes,
                       sizeof segmentBytes);
        }
        m_socket.connect({boost::asio::ip::make_address_v4(address.host), address.port});
        timeval limit {.tv_sec = testTimeout.count(), .tv_usec = 0};
        setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    void send(const std::string &bytes)
    {
        ::send(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void disconnect() { m_socket.close(); }
    /** True if bytes of an answer have arrived that were not read. */
    bool hasInput()
    {
        char next = 0;
        return recv(m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    /** Returns all bytes until the connection is closed. */
    std::string readAll()
    {
        std::string all;
        while (readSome(all)) { }
        return all;
    }
    /** Reads until this text is received or the connection is closed; returns all bytes read. */
    std::string readUntil(const std::string &text)
    {
        std::string all;
        while (all.find(text) == std::string::npos && readSome(all)) { }
        return all;
    }

private:
    bool readSome(std::string &all)
    {
        std::array<char, 4096> buffer {};
        const ssize_t count = recv(m_socket.native_handle(), buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        all.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

    boost::asio::io_context m_loop;
    tcp::socket m_socket;
};

inline std::string post(const std::string &path, const std::string &id,
                        const std::string &engineAction,
                        const std::string &extraFields = "Connection: close\r\n",
                        const std::string &body = "question")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Attempt-Id: " + id
        + "\r\nX-Test-Do: " + engineAction + "\r\n" + extraFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Edge process that runs on its own thread. */
class edge
{
public:
    edge(const std::string &ip, int storePort, absl::Duration stopGrace = absl::Seconds(8))
        : m_settings {.vm = "vm-" + ip,
                      .dataCentre = "north",
                      .callers = {.host = ip, .port = 18783},
                      .readiness = {.host = ip, .port = 18780},
                      .firstInternalPort = 17400,
                      .lastInternalPort = 17415,
                      .store
                      = {.host = "127.9.7.100", .port = static_cast<std::uint16_t>(storePort)},
                      .stopGrace = stopGrace,
                      .retryRatio = 0.2,
                      .retryAllowance = 50.0,
                      .memoryMegabytes = 200,
                      .fileDescriptors = 600}
        , m_process(m_settings, [this] { return readSettings(); })
        , m_thread([this] {
            m_process.run();
            m_hasEnded = true;
        })
    {
    }
    ~edge() { stop(); }
    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_process.requestStop();
        m_thread.join();
    }
    void beginStop() { m_process.requestStop(); }
    /** Changes the settings file; the process reads it at its next check. */
    void writeGrace(absl::Duration stopGrace)
    {
        const std::lock_guard lock(m_mutex);
        m_file.stopGrace = stopGrace;
        m_wasRead = false;
    }
    /** True once the process has read the settings after their last change. */
    bool hasReadGrace()
    {
        const std::lock_guard lock(m_mutex);
        return m_wasRead;
    }
    /** True once the process has ended. */
    bool hasEnded() const { return m_hasEnded; }
    const network_address &address() const { return m_settings.callers; }
    bool isReady() const
    {
        caller probe(m_settings.readiness);
        probe.send("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return probe.readAll().starts_with("HTTP/1.1 200");
    }
    /** Returns a number that the readiness address reports; -1 if there is none of this name. */
    int metricOf(const std::string &name) const
    {
        caller probe(m_settings.readiness);
        probe.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const std::string text = probe.readAll();
        const std::string start = "\nquetzal_edge_" + name + " ";
        const std::size_t at = text.find(start);
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + start.size()));
    }
    /** Sends one request on a new connection and returns the answer. */
    std::string answerTo(const std::string &request) const
    {
        caller connection(m_settings.callers);
        connection.send(request);
        return connection.readAll();
    }

private:
    edge_settings_read_result readSettings()
    {
        const std::lock_guard lock(m_mutex);
        m_wasRead = true;
        return {.settings = m_file};
    }

    edge_settings m_settings;
    std::mutex m_mutex;
    edge_settings m_file = m_settings;
    bool m_wasRead = false;
    std::atomic<bool> m_hasEnded = false;
    edge_process m_process;
    std::thread m_thread;
};

inline std::size_t countRuns(platform_engine &engine, const std::string &id)
{
    std::size_t runs = 0;
    for (const engine_arrival &arrival : engine.arrivals())
        runs += arrival.requestId == id && arrival.executed ? 1 : 0;
    return runs;
}

} // namespace quetzal::standins
