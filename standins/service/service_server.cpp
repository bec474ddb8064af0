#include "standins/service/service_server.h"

#include "foundation/hashing/stable_hash.h"
#include "standins/common/connection_stream.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace quetzal::standins {

namespace {

constexpr int statusUnavailable = 503;

bool consumeFault(int &count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

std::string instanceName(const std::string &id, absl::Time started)
{
    return absl::StrCat(id, "-", absl::ToUnixMillis(started));
}

} // namespace

service_server::service_server(service_options options)
    : m_options(std::move(options))
    , m_started(absl::Now())
    , m_instance(instanceName(m_options.id, m_started))
{
    m_server.Get("/load", [this](const auto &, auto &response) { reportLoad(response); });
    m_server.Get("/standin/log", [this](const auto &, auto &response) { reportLog(response); });
    m_server.Get("/standin/counts",
                 [this](const auto &, auto &response) { reportCounts(response); });
    m_server.Post("/standin/fault",
                  [this](const auto &request, auto &response) { setFaults(request, response); });
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        execute(request, response);
    };
    m_server.Get(".*", handler);
    m_server.Post(".*", handler);
    m_server.Put(".*", handler);
    m_server.Patch(".*", handler);
    m_server.Delete(".*", handler);
    m_server.Options(".*", handler);
}

void service_server::start(const std::string &ip, int port)
{
    m_server.start(ip, port);
}

void service_server::finish()
{
    m_server.finish();
}

void service_server::execute(const httplib::Request &request, httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    answer_plan plan;
    if (!admit(request, response, plan))
        return;
    absl::SleepFor(plan.duration);
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_log[plan.record].phase = execution_phase::Done;
    }
    if (plan.cutBeforeAnswer || holdsIfUnresponsive()) {
        connection_stream::current()->abandon();
        return;
    }
    answer(request, response, plan);
}

bool service_server::admit(const httplib::Request &request, httplib::Response &response,
                           answer_plan &plan)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.refuseAll || m_faults.draining || m_running >= m_options.slots) {
        ++m_refused;
        response.set_header("X-Not-Run", "true");
        const char *type = m_faults.draining ? "leaving" : "overloaded";
        answerJson(response, {{"error", {{"type", type}}}}, statusUnavailable);
        return false;
    }
    const std::string id = request.get_header_value("X-Request-Id");
    m_log.push_back({.requestId = id,
                     .callerRequestId = request.get_header_value("X-Caller-Request-Id"),
                     .service = m_options.service,
                     .admitted = absl::Now()});
    ++m_running;
    m_peakRunning = std::max(m_peakRunning, m_running);
    plan.record = m_log.size() - 1;
    plan.responseRequestId = consumeFault(m_faults.crossAnswers) ? id + "-other" : id;
    plan.cutBeforeAnswer = consumeFault(m_faults.cutBeforeAnswer);
    plan.truncated = consumeFault(m_faults.truncate);
    plan.duration = m_options.serviceTime + m_faults.delay;
    return true;
}

void service_server::answer(const httplib::Request &request, httplib::Response &response,
                            const answer_plan &plan)
{
    const nlohmann::json body
        = {{"requestId", plan.responseRequestId},
           {"callerRequestId", request.get_header_value("X-Caller-Request-Id")},
           {"method", request.method},
           {"path", request.target},
           {"bodyDigest", sha256Hex(request.body)},
           {"record", plan.record + 1}};
    response.set_header("X-Request-Id", plan.responseRequestId);
    {
        const std::lock_guard lock(m_mutex);
        response.set_header("X-Instance-Id", m_instance);
    }
    if (!plan.truncated) {
        answerJson(response, body);
        return;
    }
    response.set_content_provider(
        body.dump().size(), "application/json",
        [text = body.dump()](std::size_t, std::size_t, httplib::DataSink &sink) {
            sink.write(text.data(), text.size() / 2);
            return false;
        });
}

void service_server::reportLoad(httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const std::lock_guard lock(m_mutex);
    answerJson(response,
               {{"instance", m_instance},
                {"running", m_running},
                {"waiting", 0},
                {"uptimeSeconds", absl::ToDoubleSeconds(absl::Now() - m_started)},
                {"leaving", m_faults.draining},
                {"cold", false}});
}

void service_server::reportLog(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const execution_record &record : m_log)
        list.push_back(toJson(record));
    answerJson(response, list);
}

void service_server::reportCounts(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    answerJson(response,
               {{"executions", m_log.size()},
                {"peakRunning", m_peakRunning},
                {"refused", m_refused},
                {"coldLimitExceeded", 0}});
}

void service_server::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const std::lock_guard lock(m_mutex);
    if (body.value("cold", false)) {
        m_started = absl::Now();
        m_instance = instanceName(m_options.id, m_started);
    }
    m_faults.refuseAll = body.value("refuseAll", m_faults.refuseAll);
    m_faults.draining = body.value("leaving", m_faults.draining);
    m_faults.unresponsive = body.value("silent", m_faults.unresponsive);
    m_faults.cutBeforeAnswer = body.value("cutBeforeAnswer", m_faults.cutBeforeAnswer);
    m_faults.crossAnswers = body.value("crossAnswers", m_faults.crossAnswers);
    m_faults.truncate = body.value("truncate", m_faults.truncate);
    if (body.contains("delayMs"))
        m_faults.delay = absl::Milliseconds(body.value("delayMs", 0));
    answerJson(response, {{"set", true}});
}

bool service_server::holdsIfUnresponsive()
{
    const auto isReleased = [this] {
        const std::lock_guard lock(m_mutex);
        return !m_faults.unresponsive;
    };
    if (isReleased())
        return false;
    m_server.holdUnanswered(isReleased);
    return true;
}

} // namespace quetzal::standins
