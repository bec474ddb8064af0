#include "apps/common/program_main.h"
#include "apps/scheduler/scheduler_process.h"
#include "apps/scheduler/scheduler_settings.h"
#include "foundation/errors/result_code.h"
#include "telemetry/telemetry.h"
#include "transport/http/http_server_host.h"

#include <httplib.h>

#include <system_error>

namespace quetzal {

namespace {

constexpr char program[] = "quetzal-scheduler";
constexpr std::size_t statusThreads = 4;
constexpr int serviceUnavailable = 503;
/** Maximum time for handing over the shards. */
constexpr absl::Duration stopTimeout = absl::Seconds(15);

void installStatus(httplib::Server &server, scheduler_process &process, metric_registry &metrics)
{
    server.Get("/healthz", [&process](const httplib::Request &, httplib::Response &response) {
        const scheduler_status status = process.status();
        const bool healthy = status.connected && !status.stopping;
        response.status = healthy ? 200 : serviceUnavailable;
        response.set_content(healthy ? "ok\n" : "not connected\n", "text/plain");
    });
    server.Get("/v1/status", [&process](const httplib::Request &, httplib::Response &response) {
        response.set_content(toJson(process.status()), "application/json");
    });
    server.Get("/metrics", [&](const httplib::Request &, httplib::Response &response) {
        const network_counts counts = process.counts();
        const std::string help = "Bytes of messages between processes, framing included.";
        metrics.gaugeFor("quetzal_control_sent_bytes", help)
            .set(static_cast<double>(counts.bytesSent));
        metrics.gaugeFor("quetzal_control_received_bytes", help)
            .set(static_cast<double>(counts.bytesReceived));
        response.set_content(metrics.text(), "text/plain; version=0.0.4");
    });
}

int run(const scheduler_settings &settings, const termination_signal &signal)
{
    logger log({.program = program,
                .vm = settings.vm,
                .level = parseLogLevel(settings.logLevel).value_or(log_level::Info)});
    metric_registry metrics;
    scheduler_process process(settings);
    http_server_host statusHost(
        {.listen = settings.statusListen, .pool = {.threads = statusThreads}});
    installStatus(statusHost.server(), process, metrics);
    try {
        statusHost.start();
        process.start();
    } catch (const std::system_error &error) {
        log.error("the listening address cannot be bound",
                  {{"code", static_cast<std::int64_t>(error.code().value())}});
        return 1;
    }
    log.info("started", {{"listen", toText(settings.listen)}});

    signal.wait();
    log.info("stopping");
    process.stop(stopTimeout);
    statusHost.stop();
    log.info("stopped");
    return 0;
}

} // namespace

} // namespace quetzal

int main(int argc, char **argv)
{
    const quetzal::program_description description {
        .name = quetzal::program,
        .summary = "Owns shards of targets and grants their capacity.",
        .version = QUETZAL_VERSION};
    return quetzal::programMain(argc, argv, description, &quetzal::readSchedulerSettings,
                                &quetzal::run);
}
