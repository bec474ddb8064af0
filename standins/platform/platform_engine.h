#pragma once

#include "http/message/request_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace quetzal::standins {

/** One request that reached the engine. */
struct engine_arrival
{
    std::string requestId;
    std::string lastEventId;
    std::string tenant;
    std::string body;
    /** True when the engine worked on it. */
    bool executed = false;
    /** True when its caller left before the answer was whole. */
    bool callerDisconnected = false;
    /** Bytes of a flood that were taken from the engine. */
    std::size_t sentBytes = 0;
};

/**
 * An engine of the platform that does what the field X-Test-Do of a request says: answer (the
 * default), refuse, lose (run, then close), garble, extra (a second answer behind the first), slow,
 * events (a stream), flood (a stream of 64 MB), broken (a stream that breaks off in its fourth
 * event, unless it goes on).
 */
class platform_engine
{
public:
    platform_engine(std::string id, const std::string &ip);
    ~platform_engine();

    std::uint16_t port() const { return m_port; }
    /** The entry that the engine keeps in the store. */
    std::string entry(const std::string &service, const std::string &state = "ready") const;
    std::vector<engine_arrival> arrivals();

private:
    struct connection;

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    /** False when the connection ends. */
    bool answer(boost::asio::ip::tcp::socket &socket, const request_reader &request);
    void flood(boost::asio::ip::tcp::socket &socket, const std::string &head, std::size_t arrival);
    void streamEvents(boost::asio::ip::tcp::socket &socket, const std::string &head,
                      const request_head &request, std::size_t arrival);
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
