#include "transport/http/http_server_host.h"

#include "foundation/errors/result_code.h"
#include "transport/http/http_exchange.h"

#include <array>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace quetzal {

namespace {

constexpr int listenBacklog = 512;
constexpr int maxDrainPolls = 200;
constexpr auto drainPollInterval = std::chrono::milliseconds(1);
constexpr std::size_t maxExchangesPerConnection = 1'000'000;
constexpr std::size_t drainBytes = 4096;

void enableNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Replaces cpp-httplib's options, which would let a second process listen on the address. */
void allowRebind(socket_t descriptor)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

/** Sends as much of the answer as the socket accepts without blocking. */
void sendRejection(int descriptor, const std::string &answer)
{
    std::array<char, drainBytes> unread {};
    recv(descriptor, unread.data(), unread.size(), MSG_DONTWAIT);
    send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

/** A cpp-httplib server that serves each connection through a connection_stream. */
class http_server_host::bounded_server : public httplib::Server
{
public:
    explicit bounded_server(http_server_host_options options)
        : m_options(std::move(options))
    {
        set_socket_options(allowRebind);
        set_keep_alive_timeout(absl::ToInt64Seconds(m_options.limits.idleTimeout));
        set_keep_alive_max_count(maxExchangesPerConnection);
        set_payload_max_length(m_options.maxBodyBytes);
    }

    const http_server_host_options &options() const { return m_options; }

    /** Installs the connection pool and replaces the library's short listen backlog. */
    bool prepare()
    {
        new_task_queue = [this] {
            auto *pool = new connection_pool(m_options.pool);
            m_pool = pool;
            return pool;
        };
        return ::listen(svr_sock_, listenBacklog) == 0;
    }

    /** Lets the accepting thread accept the pending connections, then closes idle ones. */
    void beginStop()
    {
        pollfd listener {.fd = svr_sock_, .events = POLLIN, .revents = 0};
        for (int count = 0; count < maxDrainPolls && poll(&listener, 1, 0) > 0; ++count)
            std::this_thread::sleep_for(drainPollInterval);
        m_stopping = true;
        if (connection_pool *pool = m_pool; pool != nullptr)
            pool->closeIdle();
    }

    http_server_counts counts() const
    {
        const connection_pool *pool = m_pool;
        return {.connections = m_connections,
                .exchanges = m_exchanges,
                .rejected = m_rejected,
                .evictedCount = pool == nullptr ? 0 : pool->evictedCount()};
    }

private:
    bool
    process_and_close_socket(socket_t descriptor) override // NOLINT(readability-identifier-naming)
    {
        const socket_handle owned(descriptor);
        ++m_connections;
        if (connection_pool::isRejecting()) {
            ++m_rejected;
            sendRejection(descriptor, m_options.overloadAnswer);
        } else {
            enableNoDelay(descriptor);
            serve(descriptor);
        }
        shutdown(descriptor, SHUT_RDWR);
        return true;
    }

    void serve(int descriptor)
    {
        connection_stream stream(descriptor, m_options.limits, *m_pool);
        bool closed = false;
        while (!closed && stream.awaitRequest()) {
            stream.beginRequest();
            const http_exchange exchange(stream);
            ++m_exchanges;
            const bool isLast = m_stopping;
            const bool answered = process_request(stream, isLast, closed, nullptr);
            closed = closed || !answered || isLast || stream.mustClose();
        }
    }

    const http_server_host_options m_options;
    std::atomic<connection_pool *> m_pool {nullptr};
    std::atomic<bool> m_stopping {false};
    std::atomic<std::uint64_t> m_connections {0};
    std::atomic<std::uint64_t> m_exchanges {0};
    std::atomic<std::uint64_t> m_rejected {0};
};

http_server_host::http_server_host(http_server_host_options options)
    : m_server(std::make_unique<bounded_server>(std::move(options)))
    , m_address(m_server->options().listen)
{
}

http_server_host::~http_server_host()
{
    stop();
}

httplib::Server &http_server_host::server()
{
    return *m_server;
}

void http_server_host::start()
{
    if (m_address.port == 0)
        m_address.port = m_server->bind_to_any_port(m_address.ip);
    else if (!m_server->bind_to_port(m_address.ip, m_address.port))
        m_address.port = -1;
    if (m_address.port <= 0 || !m_server->prepare())
        throw std::system_error(make_error_code(result_code::AddressInUse),
                                "cannot listen at " + toText(m_server->options().listen));
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running())
        std::this_thread::yield();
}

void http_server_host::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->beginStop();
    m_server->stop();
    m_thread.join();
}

http_server_counts http_server_host::counts() const
{
    return m_server->counts();
}

} // namespace quetzal
