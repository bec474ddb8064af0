#include "standins/common/standin_server.h"

#include "foundation/errors/result_code.h"
#include "standins/common/connection_stream.h"
#include "standins/common/elastic_task_queue.h"

#include <chrono>
#include <memory>
#include <sys/socket.h>
#include <system_error>

namespace quetzal::standins {

namespace {

constexpr std::size_t maxConnections = 1024;
constexpr std::size_t maxRequestsPerConnection = 1000000;
constexpr int backlog = 1024;
constexpr std::chrono::seconds keepAliveLimit(30);
constexpr std::chrono::milliseconds unansweredPollInterval(20);

} // namespace

standin_server::standin_server()
{
    new_task_queue = [] {
        return new elastic_task_queue(maxConnections);
    };
    set_keep_alive_max_count(maxRequestsPerConnection);
    set_keep_alive_timeout(keepAliveLimit.count());
    set_socket_options([](socket_t socket) {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

standin_server::~standin_server()
{
    finish();
}

void standin_server::start(const std::string &ip, int port)
{
    m_port = port;
    const bool bound = port == 0 ? (m_port = bind_to_any_port(ip)) > 0 : bind_to_port(ip, port);
    if (!bound)
        throw std::system_error(result_code::AddressInUse, ip + ":" + std::to_string(port));
    ::listen(svr_sock_, backlog);
    m_thread = std::thread([this] { listen_after_bind(); });
    while (!is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void standin_server::finish()
{
    m_finishing = true;
    stop();
    if (m_thread.joinable())
        m_thread.join();
}

void standin_server::holdUnanswered(const std::function<bool()> &isReleased)
{
    connection_stream *connection = connection_stream::current();
    while (!isFinishing() && !isReleased() && !connection->isPeerDisconnected())
        std::this_thread::sleep_for(unansweredPollInterval);
    connection->abandon();
}

bool standin_server::process_and_close_socket(socket_t socket)
{
    connection_stream stream(socket);
    const auto isStopped = [this] {
        return isFinishing();
    };
    bool succeeded = true;
    while (succeeded && stream.waitForRequest(keepAliveLimit, isStopped)) {
        bool closed = false;
        succeeded = process_request(stream, false, closed, nullptr);
        if (closed || stream.isAbandoned())
            break;
    }
    return succeeded;
}

void answerJson(httplib::Response &response, const nlohmann::json &body, int status)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

nlohmann::json readJsonObject(const httplib::Request &request, httplib::Response &response)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object())
        return body;
    answerJson(response, {{"error", "the body must be a JSON object"}}, 400);
    return nullptr;
}

} // namespace quetzal::standins
