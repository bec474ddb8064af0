#pragma once

#include "apps/router/caller_request.h"
#include "apps/router/router_process.h"
#include "apps/router/router_settings.h"
#include "apps/router/target_call.h"
#include "telemetry/telemetry.h"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

namespace quetzal {

/** Serves callers over HTTP: checks, submits, carries out dispatches and relays answers. */
class http_front
{
public:
    http_front(const router_settings &settings, router_process &process, logger &log,
               tracer &traces, metric_registry &metrics);

    /** Registers the handlers on the server. */
    void install(httplib::Server &server);

private:
    /** One caller's request on its way. */
    struct exchange;

    void serve(const httplib::Request &request, httplib::Response &response);
    void serveBuffered(exchange &current, dispatch_request dispatch, httplib::Response &response);
    void serveStream(const std::shared_ptr<exchange> &current, const dispatch_request &dispatch,
                     httplib::Response &response);
    void runStream(exchange &current, dispatch_request dispatch, httplib::DataSink &sink);
    target_request makeTargetRequest(exchange &current, const dispatch_request &dispatch,
                                     const trace_context &context);
    void refuse(httplib::Response &response, const std::string &callerRequestId,
                const finish_request &finish, const std::string &detail = {});
    void count(const finish_request &finish, const std::string &service);

    const router_settings &m_settings;
    router_process &m_process;
    logger &m_log;
    tracer &m_traces;
    metric_registry &m_metrics;
    std::atomic<std::uint64_t> m_generatedIds {0};
};

} // namespace quetzal
