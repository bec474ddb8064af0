#pragma once

#include "http/message/request_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace quetzal::standins {

/** A request that the engine received. */
struct engine_arrival
{
    std::string requestId;
    std::string lastEventId;
    std::string tenant;
    std::string body;
    /** True if the engine executed the request. */
    bool executed = false;
    /** True if the caller disconnected before the answer was complete. */
    bool callerDisconnected = false;
    /** Bytes that the engine wrote for a request with "flood" or an endless behaviour. */
    std::size_t sentBytes = 0;
};

/**
 * An engine of the platform whose behaviour the request field X-Test-Do selects:
 *
 * - refuse: answers 503 without executing the request.
 * - refuse-for-a-second: refuses as refuse does, with a Retry-After of 1 s.
 * - leave, leave-refusing: answers, or refuses, with the field of an engine that leaves.
 * - lose: executes the request and closes the connection without an answer.
 * - garble: sends a malformed answer and closes the connection.
 * - truncate: closes the connection 3 bytes before the end of the answer.
 * - extra: sends the answer twice.
 * - slow: answers after 2 s.
 * - wait=N: answers after N milliseconds.
 * - lose=N: executes the request and closes the connection without an answer after N milliseconds.
 * - large: answers with a body of 900 kB.
 * - trickle=N: streams N events, one every 100 ms.
 * - events: streams 8 events.
 * - broken: streams events, but truncates the fourth and closes the connection, unless the request
 *   resumes a stream with Last-Event-Id.
 * - broken-then-error: as broken, but answers 500 to a request that resumes the stream.
 * - head-only: closes the connection before the end of the head of its answer.
 * - stale-refusal, stale-refusal-unnamed: executes the request, but writes a refusal of an earlier
 *   request before the answer, with that request's identifier or without any.
 * - flood: streams 64 MB.
 * - endless-line, endless-fields, endless-interim: sends a head that never ends.
 * - endless-chunk-line, endless-trailer: sends a body whose first chunk has a head that never ends,
 *   or whose trailer never ends.
 * - endless-error, endless-other, endless-event: sends the body of an error, of another request's
 *   answer, or of one event that never ends, until the caller closes the connection.
 *
 * Any other value, or none, gives a regular answer. Requests for another instance are answered 421.
 */
class platform_engine
{
public:
    /** Starts listening at a port that the system chooses. */
    platform_engine(std::string id, const std::string &ip);
    ~platform_engine();

    std::uint16_t port() const { return m_port; }
    /** Returns the value of the entry that such an engine keeps in the store. */
    std::string entry(const std::string &service, const std::string &state = "ready") const;
    /** Returns the requests received so far, in order. */
    std::vector<engine_arrival> arrivals();

private:
    struct connection;

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    /** Returns the refusal of a request that is not executed; nothing if it is. */
    std::optional<std::string> refusalOf(const header_fields &fields, const std::string &behaviour,
                                         const std::string &idField) const;
    /** Answers one request; returns false if the connection must be closed. */
    bool answer(boost::asio::ip::tcp::socket &socket, const request_reader &request);
    /** Waits this long; returns false as soon as the caller has closed the connection. */
    bool waitWhileConnected(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds time,
                            std::size_t arrival);
    void trickle(boost::asio::ip::tcp::socket &socket, const std::string &head, int count,
                 std::size_t arrival);
    /** Writes until the caller closes the connection. */
    void sendEndlessly(boost::asio::ip::tcp::socket &socket, const std::string &behaviour,
                       const std::string &idField, std::size_t arrival);
    void flood(boost::asio::ip::tcp::socket &socket, const std::string &head, std::size_t arrival);
    void streamEvents(boost::asio::ip::tcp::socket &socket, const std::string &head,
                      const request_head &request, std::size_t arrival);
    /** Records a request and returns its index in m_arrivals. */
    std::size_t recordArrival(const request_reader &request, bool executed);

    std::string m_id;
    std::string m_ip;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping {false};
    std::mutex m_mutex;
    std::vector<engine_arrival> m_arrivals;
    std::map<int, int> m_openSockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace quetzal::standins
