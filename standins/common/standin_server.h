#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace quetzal::standins {

/** An HTTP server with its own accept thread, whose handlers can simulate connection faults. */
class standin_server final : public httplib::Server
{
public:
    standin_server();
    ~standin_server() override;

    /**
     * Starts listening; with port 0 the system chooses a free port. Throws std::system_error with
     * AddressInUse if the address cannot be bound.
     */
    void start(const std::string &ip, int port);
    /** Returns the port that the server listens on. */
    int port() const { return m_port; }
    /** Stops accepting connections, waits for running handlers and joins the thread. */
    void finish();
    /** True once finish() has begun; handlers that wait without a timeout must poll it. */
    bool isFinishing() const { return m_finishing; }
    /**
     * Blocks the calling handler until the peer disconnects, isReleased returns true or the server
     * shuts down, then closes the connection without an answer.
     */
    void holdUnanswered(const std::function<bool()> &isReleased);

private:
    bool process_and_close_socket(socket_t socket) override;

    int m_port = 0;
    std::thread m_thread;
    std::atomic<bool> m_finishing = false;
};

/** Sets a JSON body and the status of a response. */
void answerJson(httplib::Response &response, const nlohmann::json &body, int status = 200);

/** Returns the request's body as a JSON object; otherwise answers 400 and returns a null value. */
nlohmann::json readJsonObject(const httplib::Request &request, httplib::Response &response);

} // namespace quetzal::standins
