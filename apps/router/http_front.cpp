#include "apps/router/http_front.h"

#include "apps/router/refusal_body.h"
#include "transport/process/monotonic_clock.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <utility>

namespace quetzal {

namespace {

constexpr char jsonType[] = "application/json";
constexpr char streamType[] = "text/event-stream";
constexpr char idHeader[] = "Quetzal-Request-Id";

finish_request refusalOf(result_code code)
{
    return {.request = 0,
            .code = code,
            .execution = execution_state::NotRun,
            .retryAfter = absl::ZeroDuration()};
}

} // namespace

struct http_front::exchange
{
    caller_request caller;
    std::string body;
    std::string method;
    std::string contentType;
    std::shared_ptr<request_channel> channel;
    span serverSpan;
    std::int64_t attempts = 0;
    bool isAttemptRunning = false;
};

http_front::http_front(const router_settings &settings, router_process &process, logger &log,
                       tracer &traces, metric_registry &metrics)
    : m_settings(settings)
    , m_process(process)
    , m_log(log)
    , m_traces(traces)
    , m_metrics(metrics)
{
}

void http_front::install(httplib::Server &server)
{
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        serve(request, response);
    };
    constexpr char any[] = R"(/.*)";
    server.Get(any, handler);
    server.Post(any, handler);
    server.Put(any, handler);
    server.Patch(any, handler);
    server.Delete(any, handler);
    server.Options(any, handler);
    const httplib::Server::HandlerWithResponse onError = [this](const httplib::Request &,
                                                                httplib::Response &response) {
        if (!response.body.empty())
            return httplib::Server::HandlerResponse::Unhandled;
        constexpr int payloadTooLarge = 413;
        const result_code code = response.status == payloadTooLarge ? result_code::BodyTooLarge
                                                                    : result_code::MalformedRequest;
        refuse(response, "", refusalOf(code));
        return httplib::Server::HandlerResponse::Handled;
    };
    server.set_error_handler(onError);
}

void http_front::serve(const httplib::Request &request, httplib::Response &response)
{
    const auto parent = parseTraceparent(request.get_header_value("traceparent"));
    span serverSpan = m_traces.begin("caller to router", span_kind::Server, parent, absl::Now());
    const auto configuration = m_process.configuration();
    const std::string generatedId = m_settings.vm + "-" + std::to_string(++m_generatedIds);
    if (!configuration)
        return refuse(response, generatedId, refusalOf(result_code::ConfigurationMissing));

    const http_request_parts parts {.method = request.method,
                                    .path = request.path,
                                    .body = request.body,
                                    .header = [&request](const std::string &name) {
                                        return request.get_header_value(name);
                                    }};
    auto read = readCallerRequest(parts, *configuration, generatedId, m_settings.defaultDeadline,
                                  monotonicNow());
    if (const auto *fault = std::get_if<caller_fault>(&read))
        return refuse(response, generatedId, refusalOf(fault->code), fault->detail);

    auto current = std::make_shared<exchange>(
        exchange {.caller = std::get<caller_request>(std::move(read)),
                  .body = request.body,
                  .method = request.method,
                  .contentType = request.get_header_value("Content-Type"),
                  .channel = nullptr,
                  .serverSpan = std::move(serverSpan)});
    span wait = m_traces.begin("wait for grant", span_kind::Internal, current->serverSpan.context(),
                               absl::Now());
    current->channel = m_process.submit(current->caller.description);
    const request_decision decision = current->channel->take();
    wait.end(absl::Now());

    response.set_header(idHeader, current->caller.callerRequestId);
    if (const auto *finish = std::get_if<finish_request>(&decision)) {
        count(*finish, current->caller.description.service);
        return refuse(response, current->caller.callerRequestId, *finish);
    }
    const auto &dispatch = std::get<dispatch_request>(decision);
    if (current->caller.isStream)
        serveStream(current, dispatch, response);
    else
        serveBuffered(*current, dispatch, response);
}

void http_front::serveBuffered(exchange &current, dispatch_request dispatch,
                               httplib::Response &response)
{
    while (true) {
        span call = m_traces.begin("router to target", span_kind::Client,
                                   current.serverSpan.context(), absl::Now());
        const target_request request = makeTargetRequest(current, dispatch, call.context());
        buffered_outcome outcome = callBuffered(request);
        call.end(absl::Now());
        m_process.onAttemptEnded(dispatch.request, outcome.result);
        const request_decision decision = current.channel->take();
        if (const auto *next = std::get_if<dispatch_request>(&decision)) {
            dispatch = *next;
            continue;
        }
        const auto &finish = std::get<finish_request>(decision);
        count(finish, current.caller.description.service);
        if (finish.code != result_code::Ok)
            return refuse(response, current.caller.callerRequestId, finish);
        response.status = outcome.answer.status;
        response.set_content(outcome.answer.body, outcome.answer.contentType);
        return;
    }
}

void http_front::serveStream(const std::shared_ptr<exchange> &current,
                             const dispatch_request &dispatch, httplib::Response &response)
{
    current->isAttemptRunning = true;
    const auto provide = [this, current, dispatch](std::size_t, httplib::DataSink &sink) {
        runStream(*current, dispatch, sink);
        sink.done();
        return true;
    };
    const auto release = [this, current, dispatch](bool) {
        if (!std::exchange(current->isAttemptRunning, false))
            return;
        m_process.onCallerDisconnected(dispatch.request);
        m_process.onAttemptEnded(dispatch.request, {.ending = attempt_ending::NotSent});
    };
    response.set_chunked_content_provider(streamType, provide, release);
}

void http_front::runStream(exchange &current, dispatch_request dispatch, httplib::DataSink &sink)
{
    const stream_sink forwardToCaller = [&sink](const std::string &text) {
        return sink.write(text.data(), text.size());
    };
    while (true) {
        span call = m_traces.begin("router to target", span_kind::Client,
                                   current.serverSpan.context(), absl::Now());
        const target_request request = makeTargetRequest(current, dispatch, call.context());
        const auto onUnits = [this, &dispatch](double units) {
            m_process.onProgress(dispatch.request, units);
        };
        const attempt_result result = callStream(request, forwardToCaller, onUnits);
        call.end(absl::Now());
        current.isAttemptRunning = false;
        m_process.onAttemptEnded(dispatch.request, result);
        const request_decision decision = current.channel->take();
        if (const auto *next = std::get_if<dispatch_request>(&decision)) {
            dispatch = *next;
            continue;
        }
        const auto &finish = std::get<finish_request>(decision);
        count(finish, current.caller.description.service);
        if (finish.code != result_code::Ok)
            forwardToCaller("event: error\ndata: "
                            + refusalBody(finish, current.caller.callerRequestId, "") + "\n\n");
        return;
    }
}

target_request http_front::makeTargetRequest(exchange &current, const dispatch_request &dispatch,
                                             const trace_context &context)
{
    const request_description &description = current.caller.description;
    const std::string callerId = description.workspace + "/" + current.caller.callerRequestId;
    return {.address = dispatch.address,
            .method = current.method,
            .path = current.caller.targetPath,
            .body = current.body,
            .contentType = current.contentType,
            .requestId = m_process.targetRequestId(description.id, ++current.attempts),
            .callerRequestId = callerId,
            .traceparent = toTraceparent(context),
            .isModel = current.caller.isModel,
            .deadline = dispatch.deadline,
            .firstByteTimeout = m_settings.firstByteTimeout,
            .idleTimeout = m_settings.idleTimeout,
            .isCancelled = [channel = current.channel] {
                return channel->isCancelled();
            }};
}

void http_front::refuse(httplib::Response &response, const std::string &callerRequestId,
                        const finish_request &finish, const std::string &detail)
{
    const result_code_entry &entry = describe(finish.code);
    response.status = entry.httpStatus;
    if (finish.retryAfter > absl::ZeroDuration())
        response.set_header("Retry-After", std::to_string(absl::ToInt64Seconds(finish.retryAfter)));
    if (!response.has_header(idHeader))
        response.set_header(idHeader, callerRequestId);
    response.set_content(refusalBody(finish, callerRequestId, detail), jsonType);
    m_log.info(
        "request refused",
        {{"code", static_cast<std::int64_t>(finish.code)}, {"name", std::string(entry.name)}},
        {.requestId = callerRequestId, .traceId = ""});
}

void http_front::count(const finish_request &finish, const std::string &service)
{
    m_metrics
        .counterFor("quetzal_requests_total", "Requests by service and result.",
                    {{"service", service}, {"result", std::string(describe(finish.code).name)}})
        .add();
}

} // namespace quetzal
