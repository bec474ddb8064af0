#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace quetzal::standins {

/** An HTTP server on its own thread whose handlers may break connections. */
class standin_server final : public httplib::Server
{
public:
    standin_server();
    ~standin_server() override;

    /**
     * Begins to listen; port 0 lets the system choose one. Throws std::system_error with
     * AddressInUse when the port is taken.
     */
    void start(const std::string &ip, int port);
    /** The port in use. */
    int port() const { return m_port; }
    /** Takes no new connections, waits for the running handlers and ends. */
    void finish();
    /** True once finish() has begun; handlers that wait without an end must look at it. */
    bool isFinishing() const { return m_finishing; }
    /** Holds the calling handler until the peer leaves, until stopped or finishing; never answers.
     */
    void holdUnanswered(const std::function<bool()> &isReleased);

private:
    bool process_and_close_socket(socket_t socket) override;

    int m_port = 0;
    std::thread m_thread;
    std::atomic<bool> m_finishing = false;
};

/** Answers with a JSON body. */
void answerJson(httplib::Response &response, const nlohmann::json &body, int status = 200);

/** The request's body as a JSON object; answers 400 and returns a null value when it is none. */
nlohmann::json readJsonObject(const httplib::Request &request, httplib::Response &response);

} // namespace quetzal::standins
