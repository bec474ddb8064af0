/**
 * Measures the latency of calls while many other connections are idle or have sent an incomplete
 * request, first with cpp-httplib's own thread pool, then with http_server_host. It uses loopback
 * only, and each measurement is bounded in time.
 */

#include "transport/http/http_server_host.h"
#include "transport/link/socket_handle.h"

#include <absl/time/clock.h>
#include <httplib.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace quetzal {

namespace {

constexpr std::size_t threads = 64;
constexpr int callCount = 40;
/** Limit for a series of calls, and read timeout of each call. */
constexpr int maxMeasurementSeconds = 8;

/** Latencies of a series of calls, and the number of calls that failed. */
struct call_times
{
    double medianMillis = 0.0;
    double worstMillis = 0.0;
    int failed = 0;
};

void addHello(httplib::Server &server)
{
    server.Get("/hello", [](const httplib::Request & /*request*/, httplib::Response &answer) {
        answer.set_content("hello", "text/plain");
    });
}

/** Opens connections, and with sendPart sends an incomplete request on each. */
std::vector<socket_handle> openConnections(const endpoint &address, int count, bool sendPart)
{
    const std::string part = "GET /hello HTTP/1.1\r\nX-Part: ";
    std::vector<socket_handle> connections;
    for (int index = 0; index < count; ++index) {
        connections.push_back(beginConnect(address));
        absl::SleepFor(absl::Milliseconds(1));
        if (sendPart)
            send(connections.back().descriptor(), part.data(), part.size(), MSG_NOSIGNAL);
    }
    return connections;
}

call_times measureCalls(const endpoint &address)
{
    std::vector<double> millis;
    call_times times;
    const absl::Time limit = absl::Now() + absl::Seconds(maxMeasurementSeconds);
    for (int index = 0; index < callCount && absl::Now() < limit; ++index) {
        httplib::Client client(address.ip, address.port);
        client.set_read_timeout(maxMeasurementSeconds, 0);
        const absl::Time begin = absl::Now();
        const httplib::Result answer = client.Get("/hello");
        millis.push_back(absl::ToDoubleMilliseconds(absl::Now() - begin));
        times.failed += answer && answer->status == 200 ? 0 : 1;
    }
    std::sort(millis.begin(), millis.end());
    times.medianMillis = millis[millis.size() / 2];
    times.worstMillis = millis.back();
    return times;
}

void printRow(const char *server, const char *others, int count, const call_times &times)
{
    std::printf("| %s | %d %s | %.2f | %.1f | %d |\n", server, count, others, times.medianMillis,
                times.worstMillis, times.failed);
    std::fflush(stdout);
}

void measureThreadPool(int count, bool slow)
{
    httplib::Server server;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(threads);
    };
    addHello(server);
    const endpoint address {.ip = "127.0.0.1", .port = server.bind_to_any_port("127.0.0.1")};
    std::thread serving([&server] { server.listen_after_bind(); });
    {
        const auto others = openConnections(address, count, slow);
        printRow("cpp-httplib", slow ? "half-sent" : "idle", count, measureCalls(address));
    }
    server.stop();
    serving.join();
}

void measureServerHost(int count, bool slow)
{
    http_server_host host({.listen = {.ip = "127.0.0.1", .port = 0},
                           .pool = {.threads = threads, .maxQueued = 1024}});
    addHello(host.server());
    host.start();
    const auto others = openConnections(host.address(), count, slow);
    printRow("http_server_host", slow ? "half-sent" : "idle", count, measureCalls(host.address()));
}

} // namespace

} // namespace quetzal

int main()
{
    std::printf("| server (64 threads) | other connections | median ms | worst ms | failed |\n");
    std::printf("|---|---|---|---|---|\n");
    for (const bool slow : {false, true}) {
        for (const int count : {0, 50, 300}) {
            quetzal::measureThreadPool(count, slow);
            quetzal::measureServerHost(count, slow);
        }
    }
    return 0;
}
