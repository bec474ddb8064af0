#include "apps/admin/admin_server.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <system_error>
#include <utility>

namespace quetzal {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int socketTimeoutSeconds = 5;
constexpr int keepAliveSeconds = 1;
constexpr std::int64_t maxWaitMillis = 60000;
constexpr absl::Duration fleetPollInterval = absl::Milliseconds(100);
constexpr const char *jsonType = "application/json";

administration_request toRequest(const httplib::Request &httpRequest)
{
    administration_request request {.method = httpRequest.method,
                                    .path = httpRequest.path,
                                    .query = {},
                                    .token = {},
                                    .body = httpRequest.body,
                                    .writeId = {}};
    for (const auto &[name, value] : httpRequest.params)
        request.query[name] = value;
    const std::string scheme = "Bearer ";
    const std::string authorization = httpRequest.get_header_value("Authorization");
    if (authorization.starts_with(scheme))
        request.token = authorization.substr(scheme.size());
    return request;
}

/** Returns the result code of an answer that the HTTP library generated itself. */
result_code codeOf(int httpStatus)
{
    constexpr int payloadTooLarge = 413;
    constexpr int notFound = 404;
    if (httpStatus == payloadTooLarge)
        return result_code::BodyTooLarge;
    return httpStatus == notFound ? result_code::NotFound : result_code::MalformedRequest;
}

} // namespace

admin_server::admin_server(admin_settings settings, std::uint64_t seed, logger &log)
    : m_settings(std::move(settings))
    , m_log(log)
    , m_store(m_settings)
    , m_fleet(m_settings)
    , m_api(m_settings.apiOptions(), operator_registry(m_settings.operators), m_store, m_fleet)
    , m_random(seed)
{
    install();
}

admin_server::~admin_server()
{
    if (m_thread.joinable())
        stop();
}

void admin_server::start()
{
    const auto &[ip, port] = m_settings.listen;
    const bool isBound = port != 0 && m_server.bind_to_port(ip, port);
    m_port = port == 0 ? m_server.bind_to_any_port(ip) : port;
    if (port == 0 ? m_port <= 0 : !isBound)
        throw std::system_error(make_error_code(result_code::AddressInUse));
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
}

void admin_server::stop()
{
    m_stop.Notify();
    m_server.stop();
    m_thread.join();
}

void admin_server::install()
{
    const int threads = m_settings.requestThreads;
    m_server.new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    m_server.set_payload_max_length(m_settings.maxBodyBytes);
    m_server.set_read_timeout(socketTimeoutSeconds);
    m_server.set_write_timeout(socketTimeoutSeconds);
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    m_server.Get("/healthz", [this](const httplib::Request &, httplib::Response &response) {
        const bool stopping = m_stop.HasBeenNotified();
        response.status = stopping ? statusUnavailable : statusOk;
        response.set_content(stopping ? "stopping\n" : "ok\n", "text/plain");
    });
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        answer(request, response);
    };
    m_server.Get("/v1/.*", handler);
    m_server.Post("/v1/.*", handler);
    m_server.set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (response.body.empty())
            response.set_content(makeErrorAnswer(codeOf(response.status)).body.dump(), jsonType);
    });
}

void admin_server::answer(const httplib::Request &httpRequest, httplib::Response &httpResponse)
{
    administration_request request = toRequest(httpRequest);
    request.writeId = newWriteId();
    administration_answer result = m_api.handle(request);
    if (result.acceptedRevision)
        addFleetReport(request, result);
    m_log.info("answered",
               {{"operator", result.callingOperator},
                {"method", request.method},
                {"path", request.path},
                {"code", static_cast<std::int64_t>(result.code)},
                {"revision", result.acceptedRevision.value_or(0)}},
               {.requestId = request.writeId, .traceId = {}});
    httpResponse.status = describe(result.code).httpStatus;
    httpResponse.set_content(result.body.dump(), jsonType);
}

void admin_server::addFleetReport(const administration_request &request,
                                  administration_answer &answer)
{
    const std::int64_t waitMillis
        = std::min(request.integerParameter("waitMs").value_or(0), maxWaitMillis);
    const absl::Time end = absl::Now() + absl::Milliseconds(waitMillis);
    const std::string environment = m_api.environmentOf(request);
    fleet_report report = makeFleetReport(*answer.acceptedRevision, m_fleet.fetch(environment));
    while (!report.isSettled() && absl::Now() < end
           && !m_stop.WaitForNotificationWithTimeout(fleetPollInterval))
        report = makeFleetReport(*answer.acceptedRevision, m_fleet.fetch(environment));
    answer.body["fleet"] = toJson(report);
    if (!report.isSettled())
        answer.body["warning"] = makeErrorAnswer(result_code::RevisionNotInForce).body["error"];
}

std::string admin_server::newWriteId()
{
    const absl::MutexLock lock(&m_mutex);
    const std::uint64_t high = m_random();
    const std::uint64_t low = m_random();
    return absl::StrCat(absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
}

} // namespace quetzal
