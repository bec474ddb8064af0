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

/**
 * Serves callers over HTTP.
 *
 * Validates each request, submits it to the router node, sends it to the target that the node
 * chooses and relays the answer to the caller.
 */
class http_front
{
public:
    /** Keeps references to the arguments, which must outlive the object. */
    http_front(const router_settings &settings, router_process &process, logger &log,
               tracer &traces, metric_registry &metrics);

    /** Registers the handlers on the server. */
    void install(httplib::Server &server);

private:
    /** The state of one caller's request while it is served. */
    struct exchange;

    /** Serves one request on the calling thread until its answer is set or its stream begins. */
    void serve(const httplib::Request &request, httplib::Response &response);
    /** Runs the attempts of a request and sets the complete answer. */
    void serveBuffered(exchange &current, dispatch_request dispatch, httplib::Response &response);
    /** Installs the provider that streams the answer to the caller. */
    void serveStream(const std::shared_ptr<exchange> &current, const dispatch_request &dispatch,
                     httplib::Response &response);
    /** Runs the attempts of a streamed request and writes the events to the sink. */
    void runStream(exchange &current, dispatch_request dispatch, httplib::DataSink &sink);
    target_request makeTargetRequest(exchange &current, const dispatch_request &dispatch,
                                     const trace_context &context);
    /** Answers with the error that belongs to the result code, and logs it. */
    void refuse(httplib::Response &response, const std::string &callerRequestId,
                const finish_request &finish, const std::string &detail = {});
    /** Counts a finished request in quetzal_requests_total. */
    void count(const finish_request &finish, const std::string &service);

    const router_settings &m_settings;
    router_process &m_process;
    logger &m_log;
    tracer &m_traces;
    metric_registry &m_metrics;
    std::atomic<std::uint64_t> m_generatedIds {0};
};

} // namespace quetzal
