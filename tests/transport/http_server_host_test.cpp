#include "foundation/errors/result_code.h"
#include "transport/http/connection_budget.h"
#include "transport/http/http_exchange.h"
#include "transport/http/http_server_host.h"
#include "transport_fixtures.h"

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <vector>

using namespace quetzal;
using namespace quetzal::testing;

namespace {

const std::string getRequest = "GET /hello HTTP/1.1\r\nHost: x\r\n\r\n";

http_server_host_options smallServer()
{
    return {.listen = {.ip = "127.0.0.1", .port = 0},
            .pool = {.threads = 4, .maxQueued = 4},
            .limits = {.progressTimeout = absl::Seconds(10),
                       .requestTimeout = absl::Seconds(10),
                       .idleTimeout = absl::Seconds(60)},
            .maxBodyBytes = 1000,
            .overloadAnswer = "HTTP/1.1 503 Overloaded\r\nContent-Length: 0\r\n\r\n"};
}

void addHello(http_server_host &host)
{
    host.server().Get("/hello",
                      [](const httplib::Request & /*request*/, httplib::Response &answer) {
                          answer.set_content("hello", "text/plain");
                      });
}

socket_handle open(const http_server_host &host)
{
    socket_handle socket = beginConnect(host.address());
    pollfd ready {.fd = socket.descriptor(), .events = POLLOUT, .revents = 0};
    poll(&ready, 1, 5000);
    REQUIRE(isConnected(socket));
    return socket;
}

void sendText(const socket_handle &socket, const std::string &text)
{
    REQUIRE(::send(socket.descriptor(), text.data(), text.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(text.size()));
}

/** True if no process listens on the address. */
bool isPortClosed(const endpoint &address)
{
    const socket_handle socket = beginConnect(address);
    pollfd ready {.fd = socket.descriptor(), .events = POLLOUT, .revents = 0};
    poll(&ready, 1, 5000);
    return !isConnected(socket);
}

/** Returns everything received until the text has arrived or the connection was closed. */
std::string receiveUntil(const socket_handle &socket, const std::string &wanted)
{
    std::string received;
    waitUntil([&] {
        std::array<char, 4096> buffer {};
        const ssize_t count = recv(socket.descriptor(), buffer.data(), buffer.size(), 0);
        if (count > 0)
            received.append(buffer.data(), static_cast<std::size_t>(count));
        const bool closed = count == 0 || (count < 0 && errno != EAGAIN);
        return closed || received.find(wanted) != std::string::npos;
    });
    return received;
}

} // namespace

SCENARIO("An HTTP server answers requests and rejects invalid ones")
{
    http_server_host host(smallServer());
    addHello(host);
    host.start();
    httplib::Client client("127.0.0.1", host.address().port);

    SECTION("a request is answered")
    {
        const httplib::Result answer = client.Get("/hello");
        REQUIRE(answer);
        CHECK(answer->body == "hello");
    }
    SECTION("a second server on the same address fails with AddressInUse")
    {
        http_server_host_options options = smallServer();
        options.listen.port = host.address().port;
        http_server_host second(options);
        try {
            second.start();
            FAIL("a second server must not start on the same address");
        } catch (const std::system_error &error) {
            CHECK(error.code() == make_error_code(result_code::AddressInUse));
        }
    }
    SECTION("a body over the limit is rejected with status 413")
    {
        const httplib::Result answer = client.Post("/hello", std::string(2000, 'x'), "text/plain");
        REQUIRE(answer);
        CHECK(answer->status == 413);
    }
    SECTION("bytes after a malformed request are not parsed as another request")
    {
        const socket_handle socket = open(host);
        sendText(socket, "GET /hello\r\n\r\n" + getRequest);
        const std::string received = receiveUntil(socket, "200 OK");
        CHECK(received.find("HTTP/1.1 400") != std::string::npos);
        CHECK(received.find("200 OK") == std::string::npos);
        CHECK(host.counts().exchanges == 1);
    }
    SECTION("requests sent at once on one connection are all served on it")
    {
        const socket_handle socket = open(host);
        sendText(socket, getRequest + getRequest + getRequest);
        CHECK(waitUntil([&] { return host.counts().exchanges == 3; }));
        CHECK(host.counts().connections == 1);
    }
}

SCENARIO("Idle connections are evicted while others are queued")
{
    http_server_host host(smallServer());
    addHello(host);
    host.start();

    GIVEN("more idle connections than threads, half of which have served a request")
    {
        constexpr std::size_t idleCount = 40;
        std::vector<socket_handle> idle;
        for (std::size_t index = 0; index < idleCount; ++index) {
            idle.push_back(open(host));
            if (index % 2 == 0) {
                sendText(idle.back(), getRequest);
                CHECK(receiveUntil(idle.back(), "hello").find("200 OK") != std::string::npos);
            }
        }
        WHEN("another caller sends a request")
        {
            const socket_handle caller = open(host);
            sendText(caller, getRequest);
            THEN("it is answered and idle connections are evicted")
            {
                CHECK(receiveUntil(caller, "hello").find("200 OK") != std::string::npos);
                CHECK(host.counts().evictedCount > 0);
            }
        }
    }
}

SCENARIO("Callers that send their requests slowly")
{
    http_server_host_options options = smallServer();
    options.limits.requestTimeout = absl::Milliseconds(400);
    http_server_host host(options);
    addHello(host);
    host.start();

    GIVEN("a caller that sends a header byte by byte and never completes it")
    {
        const socket_handle slow = open(host);
        WHEN("every byte arrives well within the progress timeout")
        {
            std::size_t sent = 0;
            const bool wasDisconnected = waitUntil([&] {
                ++sent;
                return ::send(slow.descriptor(), "x", 1, MSG_NOSIGNAL) < 0;
            });
            THEN("the connection is closed at the request deadline")
            {
                CHECK(wasDisconnected);
                CHECK(sent > 10);
            }
        }
    }
    GIVEN("as many slow callers as threads")
    {
        std::vector<socket_handle> slow;
        for (std::size_t index = 0; index < options.pool.threads; ++index) {
            slow.push_back(open(host));
            sendText(slow.back(), "GET /hel");
        }
        REQUIRE(waitUntil([&] { return host.counts().exchanges == options.pool.threads; }));
        WHEN("another caller sends a request")
        {
            const socket_handle caller = open(host);
            sendText(caller, getRequest);
            THEN("it is answered once the deadline of the slow requests has passed")
            {
                CHECK(receiveUntil(caller, "hello").find("200 OK") != std::string::npos);
            }
        }
    }
}

SCENARIO("Stalled requests are evicted in favour of queued connections")
{
    http_server_host_options options = smallServer();
    options.pool.maxQueued = 100;
    options.limits.progressTimeout = absl::Hours(1);
    options.limits.requestTimeout = absl::Hours(1);
    http_server_host host(options);
    addHello(host);
    host.start();

    GIVEN("more partial requests than threads")
    {
        std::vector<socket_handle> partialRequests;
        for (std::size_t index = 0; index < 3 * options.pool.threads; ++index) {
            partialRequests.push_back(open(host));
            sendText(partialRequests.back(), "GET /hello HTTP/1.1\r\nX-Part: ");
        }
        WHEN("another caller sends a complete request")
        {
            const socket_handle caller = open(host);
            sendText(caller, getRequest);
            THEN("it is answered")
            {
                CHECK(receiveUntil(caller, "hello").find("200 OK") != std::string::npos);
                CHECK(host.counts().evictedCount > 0);
            }
        }
    }
    GIVEN("as many callers that send single bytes at intervals as threads")
    {
        std::atomic<bool> done {false};
        std::thread trickle([&] {
            std::vector<socket_handle> slow;
            for (std::size_t index = 0; index < options.pool.threads; ++index)
                slow.push_back(open(host));
            while (!done) {
                for (const socket_handle &socket : slow)
                    ::send(socket.descriptor(), "x", 1, MSG_NOSIGNAL);
                absl::SleepFor(absl::Milliseconds(20));
            }
        });
        REQUIRE(waitUntil([&] { return host.counts().exchanges == options.pool.threads; }));
        WHEN("another caller sends a complete request")
        {
            const socket_handle caller = open(host);
            sendText(caller, getRequest);
            THEN("it is answered")
            {
                CHECK(receiveUntil(caller, "hello").find("200 OK") != std::string::npos);
            }
        }
        done = true;
        trickle.join();
    }
    GIVEN("a partial request while no connection is queued")
    {
        const socket_handle partialRequest = open(host);
        sendText(partialRequest, "GET /hello HTTP/1.1\r\nHost: ");
        REQUIRE(waitUntil([&] { return host.counts().exchanges == 1; }));
        WHEN("the server stops and the rest is sent afterwards")
        {
            std::thread stopping([&] { host.stop(); });
            CHECK(waitUntil([&] { return isPortClosed(host.address()); }));
            absl::SleepFor(absl::Milliseconds(500));
            sendText(partialRequest, "x\r\n\r\n");
            THEN("it is answered: a graceful stop does not interrupt requests")
            {
                CHECK(receiveUntil(partialRequest, "hello").find("200 OK") != std::string::npos);
            }
            stopping.join();
        }
    }
}

SCENARIO("A request whose header never ends is closed at the size limit")
{
    http_server_host_options options = smallServer();
    options.limits.maxRequestBytes = 16 * 1024;
    options.limits.progressTimeout = absl::Hours(1);
    options.limits.requestTimeout = absl::Hours(1);
    http_server_host host(options);
    addHello(host);
    host.start();
    const socket_handle endlessRequest = open(host);
    const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    sendText(endlessRequest, "GET /hello HTTP/1.1\r\n");
    CHECK(waitUntil([&] {
        const ssize_t count
            = ::send(endlessRequest.descriptor(), line.data(), line.size(), MSG_NOSIGNAL);
        return count < 0 && errno != EAGAIN;
    }));
}

SCENARIO("All threads are busy and the queue is full")
{
    absl::Notification release;
    http_server_host host(smallServer());
    host.server().Get("/wait",
                      [&](const httplib::Request & /*request*/, httplib::Response &answer) {
                          release.WaitForNotification();
                          answer.set_content("waited", "text/plain");
                      });
    host.start();
    const std::string request = "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<socket_handle> callers;
    constexpr std::size_t capacity = 4 + 4;
    for (std::size_t index = 0; index < capacity; ++index) {
        callers.push_back(open(host));
        sendText(callers.back(), request);
        const std::size_t serving = std::min<std::size_t>(index + 1, 4);
        REQUIRE(waitUntil([&] { return host.counts().exchanges >= serving; }));
    }

    WHEN("one more connection arrives")
    {
        const socket_handle extra = open(host);
        sendText(extra, request);
        THEN("it is rejected at once and the others are served")
        {
            CHECK(waitUntil([&] { return host.counts().rejected == 1; }));
            release.Notify();
            for (const socket_handle &caller : callers)
                CHECK(receiveUntil(caller, "waited").find("200 OK") != std::string::npos);
        }
    }
    WHEN("the server stops")
    {
        std::thread stopping([&] { host.stop(); });
        CHECK(waitUntil([&] { return isPortClosed(host.address()); }));
        release.Notify();
        THEN("every accepted request is still answered")
        {
            for (const socket_handle &caller : callers)
                CHECK(receiveUntil(caller, "waited").find("200 OK") != std::string::npos);
        }
        stopping.join();
    }
    if (!release.HasBeenNotified())
        release.Notify();
}

SCENARIO("A handler detects that its caller has disconnected")
{
    std::atomic<bool> sawConnected {false};
    std::atomic<bool> sawDisconnected {false};
    std::atomic<bool> ended {false};
    http_server_host host(smallServer());
    host.server().Get(
        "/watch", [&](const httplib::Request & /*request*/, httplib::Response & /*answer*/) {
            http_exchange *exchange = http_exchange::current();
            REQUIRE(exchange != nullptr);
            exchange->onEnd([&ended] { ended = true; });
            sawConnected = exchange->isCallerConnected();
            sawDisconnected = waitUntil([exchange] { return !exchange->isCallerConnected(); });
        });
    host.start();
    socket_handle caller = open(host);
    sendText(caller, "GET /watch HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(waitUntil([&] { return sawConnected.load(); }));
    CHECK(!ended);
    caller.reset();
    CHECK(waitUntil([&] { return sawDisconnected.load(); }));
    CHECK(waitUntil([&] { return ended.load(); }));
}

SCENARIO("Connections are limited per workspace")
{
    connection_budget budget({.maxConnections = 5, .maxPerWorkspace = 3});
    GIVEN("a workspace at its limit")
    {
        for (int index = 0; index < 3; ++index)
            REQUIRE(budget.tryAcquire("flood"));
        THEN("its next connection is rejected and another workspace can acquire some")
        {
            CHECK(!budget.tryAcquire("flood"));
            CHECK(budget.tryAcquire("small"));
            CHECK(budget.tryAcquire("small"));
            CHECK(!budget.tryAcquire("third"));
            CHECK(budget.used() == 5);
        }
        AND_WHEN("it releases a connection")
        {
            budget.release("flood");
            THEN("it can acquire one again")
            {
                CHECK(budget.usedBy("flood") == 2);
                CHECK(budget.tryAcquire("flood"));
            }
        }
    }
}
