#include "apps/common/program_main.h"
#include "apps/router/http_front.h"
#include "apps/router/router_process.h"
#include "apps/router/router_settings.h"
#include "telemetry/telemetry.h"
#include "transport/http/http_server_host.h"

#include <nlohmann/json.hpp>

#include <system_error>

namespace quetzal {

namespace {

constexpr char program[] = "quetzal-router";
constexpr std::size_t statusThreads = 4;
/** Maximum size of a request without its body. */
constexpr std::size_t maxHeaderBytes = std::size_t {64} * 1024;
constexpr int serviceUnavailable = 503;
/** Time for which requests are still accepted after the health check begins to fail. */
constexpr absl::Duration drainDelay = absl::Seconds(2);

std::string statusText(const router_settings &settings, router_process &process)
{
    const router_status status = process.status();
    const network_counts counts = process.counts();
    return nlohmann::json {{"vm", settings.vm},
                           {"configurationRevision", status.configurationRevision},
                           {"isolated", status.isolated},
                           {"stopping", status.stopping},
                           {"waiting", status.waiting},
                           {"running", status.running},
                           {"controlBytesSent", counts.bytesSent},
                           {"controlBytesReceived", counts.bytesReceived},
                           {"controlMessagesSent", counts.messagesSent},
                           {"controlMessagesReceived", counts.messagesReceived}}
        .dump();
}

void installStatus(httplib::Server &server, const router_settings &settings,
                   router_process &process, metric_registry &metrics, std::atomic<bool> &draining)
{
    server.Get("/healthz", [&](const httplib::Request &, httplib::Response &response) {
        const router_status status = process.status();
        const bool healthy
            = !draining && !status.isolated && !status.stopping && status.configurationRevision > 0;
        response.status = healthy ? 200 : serviceUnavailable;
        response.set_content(healthy ? "ok\n" : "not serving\n", "text/plain");
    });
    server.Get("/v1/status", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(statusText(settings, process), "application/json");
    });
    server.Get("/metrics", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(metrics.text(), "text/plain; version=0.0.4");
    });
}

http_server_host_options callerHostOptions(const router_settings &settings)
{
    const auto bodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    return {.listen = settings.listen,
            .pool = {.threads = static_cast<std::size_t>(settings.threads),
                     .maxQueued = static_cast<std::size_t>(settings.threads)},
            .limits = {.maxRequestBytes = bodyBytes + maxHeaderBytes},
            .maxBodyBytes = bodyBytes};
}

int run(const router_settings &settings, const termination_signal &signal)
{
    logger log({.program = program,
                .vm = settings.vm,
                .level = parseLogLevel(settings.logLevel).value_or(log_level::Info)});
    tracer traces({.resource = {program, settings.vm, settings.dataCentre},
                   .file = settings.traceFile,
                   .sampledFraction = settings.traceSampleRatio});
    metric_registry metrics;
    router_process process(settings);
    http_front front(settings, process, log, traces, metrics);
    std::atomic<bool> draining {false};

    http_server_host statusHost(
        {.listen = settings.statusListen, .pool = {.threads = statusThreads}});
    installStatus(statusHost.server(), settings, process, metrics, draining);
    http_server_host callerHost(callerHostOptions(settings));
    front.install(callerHost.server());
    try {
        callerHost.start();
        statusHost.start();
    } catch (const std::system_error &error) {
        log.error("the listening address cannot be bound",
                  {{"code", static_cast<std::int64_t>(error.code().value())}});
        return 1;
    }
    process.start();
    log.info("started", {{"listen", toText(settings.listen)}});

    signal.wait();
    log.info("stopping");
    draining = true;
    absl::SleepFor(drainDelay);
    process.beginStop();
    process.waitUntilFinished(settings.stopTimeout);
    callerHost.stop();
    statusHost.stop();
    process.stop();
    log.info("stopped");
    return 0;
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    const quetzal::program_description description {
        .name = quetzal::program,
        .summary = "Takes callers' requests and sends them to targets.",
        .version = QUETZAL_VERSION};
    return quetzal::programMain(argc, argv, description, &quetzal::readRouterSettings,
                                &quetzal::run);
}
