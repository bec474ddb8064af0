#include "standins/engine/engine_server.h"

#include "standins/common/completion_text.h"
#include "standins/common/connection_stream.h"

#include <absl/strings/str_cat.h>

#include <memory>
#include <thread>
#include <utility>

namespace quetzal::standins {

namespace {

constexpr absl::Duration pollInterval = absl::Milliseconds(10);
constexpr int defaultTokens = 16;
constexpr int statusUnavailable = 503;

std::string lastMessage(const nlohmann::json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return "";
    const nlohmann::json &last = messages->back();
    return last.is_object() && last.contains("content") && last["content"].is_string()
        ? last["content"].get<std::string>()
        : "";
}

int readTokenCount(const nlohmann::json &body)
{
    for (const char *name : {"standin_tokens", "max_tokens"}) {
        const auto value = body.find(name);
        if (value != body.end() && value->is_number_integer())
            return std::max(value->get<int>(), 1);
    }
    return defaultTokens;
}

std::string eventText(const std::string &responseRequestId, const std::string &message, int index,
                      int tokens)
{
    const bool last = index + 1 == tokens;
    nlohmann::json choice = {{"index", 0},
                             {"delta", {{"content", completionToken(message, index)}}},
                             {"finish_reason", nullptr}};
    if (last)
        choice["finish_reason"] = "stop";
    nlohmann::json chunk = {{"id", responseRequestId},
                            {"object", "chat.completion.chunk"},
                            {"choices", nlohmann::json::array({choice})}};
    if (last)
        chunk["usage"] = {{"completion_tokens", tokens}};
    return absl::StrCat("id: ", index, "\ndata: ", chunk.dump(), "\n\n");
}

void reject(httplib::Response &response, const std::string &type)
{
    response.set_header("X-Not-Run", "true");
    answerJson(response, {{"error", {{"type", type}}}}, statusUnavailable);
}

bool hasEnded(execution_phase phase)
{
    return phase != execution_phase::Waiting && phase != execution_phase::Running;
}

/** Decrements a counted fault; returns false if none is left. */
bool consumeFault(int &count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

} // namespace

engine_server::engine_server(engine_options options)
    : m_model(std::move(options), absl::Now())
{
    addRequestRoutes();
    addControlRoutes();
}

void engine_server::start(const std::string &ip, int port)
{
    m_server.start(ip, port);
}

void engine_server::finish()
{
    m_server.finish();
}

void engine_server::addRequestRoutes()
{
    m_server.Post("/v1/chat/completions",
                  [this](const auto &request, auto &response) { complete(request, response); });
    m_server.Get("/v1/requests/([^/]+)/stream",
                 [this](const auto &request, auto &response) { resume(request, response); });
    m_server.Delete("/v1/requests/([^/]+)",
                    [this](const auto &request, auto &response) { cancel(request, response); });
    m_server.Get("/load", [this](const auto &, auto &response) { reportLoad(response); });
    m_server.Post("/v1/orders",
                  [this](const auto &request, auto &response) { handleOrder(request, response); });
}

void engine_server::addControlRoutes()
{
    m_server.Get("/standin/log", [this](const auto &, auto &response) {
        const std::lock_guard lock(m_mutex);
        nlohmann::json list = nlohmann::json::array();
        for (const execution_record &record : m_model.log())
            list.push_back(toJson(record));
        answerJson(response, list);
    });
    m_server.Get("/standin/counts",
                 [this](const auto &, auto &response) { reportCounts(response); });
    m_server.Post("/standin/fault",
                  [this](const auto &request, auto &response) { setFaults(request, response); });
}

void engine_server::complete(const httplib::Request &request, httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const answer_plan plan = planAnswer(request, body);
    if (const auto type = submitRequest(plan, request.get_header_value("X-Caller-Request-Id"))) {
        if (type->empty())
            connection_stream::current()->abandon();
        else
            reject(response, *type);
        return;
    }
    const auto streamed = body.find("stream");
    if (streamed != body.end() && streamed->is_boolean() && streamed->get<bool>())
        stream(response, plan, 0);
    else
        sendCompleteAnswer(response, plan);
}

std::optional<std::string> engine_server::submitRequest(const answer_plan &plan,
                                                        const std::string &callerRequestId)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.refuseAll)
        return "overloaded";
    const absl::Time now = absl::Now();
    switch (m_model.submit(plan.requestId, callerRequestId, plan.tokens, now)) {
    case submit_result::Accepted:
        m_model.attach(plan.requestId, now);
        m_plans[plan.requestId] = plan;
        return std::nullopt;
    case submit_result::Overloaded:
        return "overloaded";
    case submit_result::Draining:
        return "leaving";
    case submit_result::Crashed:
    case submit_result::Duplicate:
        return "";
    }
    return "";
}

engine_server::answer_plan engine_server::planAnswer(const httplib::Request &request,
                                                     const nlohmann::json &body)
{
    absl::Duration delay;
    answer_plan plan {.requestId = request.get_header_value("X-Request-Id"),
                      .message = lastMessage(body),
                      .tokens = readTokenCount(body)};
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
        plan.responseRequestId
            = consumeFault(m_faults.crossAnswers) ? plan.requestId + "-other" : plan.requestId;
        plan.cutAfterEvents = std::exchange(m_faults.cutAfterEvents, -1);
        plan.cutBeforeAnswer = consumeFault(m_faults.cutBeforeAnswer);
        plan.truncated = consumeFault(m_faults.truncate);
    }
    absl::SleepFor(delay);
    return plan;
}

bool engine_server::holdsIfUnresponsive()
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

void engine_server::stream(httplib::Response &response, const answer_plan &plan, int firstEvent)
{
    response.set_header("X-Request-Id", plan.responseRequestId);
    {
        const std::lock_guard lock(m_mutex);
        response.set_header("X-Instance-Id", m_model.instance());
    }
    if (plan.cutBeforeAnswer) {
        connection_stream::current()->abandon();
        detach(plan.requestId);
        return;
    }
    auto nextEvent = std::make_shared<int>(firstEvent);
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, plan, nextEvent](std::size_t, httplib::DataSink &sink) {
            return writeEvents(plan, *nextEvent, sink);
        },
        [this, id = plan.requestId](bool) { detach(id); });
}

bool engine_server::writeEvents(const answer_plan &plan, int &nextEvent, httplib::DataSink &sink)
{
    absl::SleepFor(pollInterval);
    if (holdsIfUnresponsive())
        return false;
    const engine_progress progress = progressOf(plan.requestId);
    std::string text;
    while (nextEvent < progress.tokensReady) {
        if (plan.cutAfterEvents >= 0 && nextEvent >= plan.cutAfterEvents) {
            sink.write(text.data(), text.size());
            connection_stream::current()->abandon();
            return false;
        }
        text += eventText(plan.responseRequestId, plan.message, nextEvent, plan.tokens);
        ++nextEvent;
    }
    const bool isComplete = progress.phase == execution_phase::Done;
    if (isComplete && plan.truncated) {
        sink.done();
        return true;
    }
    if (isComplete)
        text += "data: [DONE]\n\n";
    if (!text.empty() && !sink.write(text.data(), text.size()))
        return false;
    if (isComplete)
        sink.done();
    return isComplete || !hasEnded(progress.phase);
}

void engine_server::sendCompleteAnswer(httplib::Response &response, const answer_plan &plan)
{
    connection_stream *connection = connection_stream::current();
    engine_progress progress = progressOf(plan.requestId);
    while (!hasEnded(progress.phase) && !connection->isPeerDisconnected()) {
        absl::SleepFor(pollInterval);
        progress = progressOf(plan.requestId);
    }
    detach(plan.requestId);
    if (progress.phase != execution_phase::Done || plan.cutBeforeAnswer || holdsIfUnresponsive()) {
        connection->abandon();
        return;
    }

    const std::string text = completionText(plan.message, plan.tokens);
    const nlohmann::json choice = {{"index", 0},
                                   {"message", {{"role", "assistant"}, {"content", text}}},
                                   {"finish_reason", "stop"}};
    const nlohmann::json answer = {{"id", plan.responseRequestId},
                                   {"object", "chat.completion"},
                                   {"choices", nlohmann::json::array({choice})},
                                   {"usage", {{"completion_tokens", plan.tokens}}}};
    response.set_header("X-Request-Id", plan.responseRequestId);
    const std::string body = answer.dump();
    {
        const std::lock_guard lock(m_mutex);
        response.set_header("X-Instance-Id", m_model.instance());
    }
    if (!plan.truncated) {
        answerJson(response, answer);
        return;
    }
    response.set_content_provider(body.size(), "application/json",
                                  [body](std::size_t, std::size_t, httplib::DataSink &sink) {
                                      sink.write(body.data(), body.size() / 2);
                                      return false;
                                  });
}

void engine_server::resume(const httplib::Request &request, httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const std::string id = request.matches[1];
    const int offset = std::atoi(request.get_param_value("offset").c_str());
    answer_plan plan;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_model.isResumable(id, absl::Now()) || !m_plans.contains(id)) {
            answerJson(response, {{"error", {{"type", "unknown"}}}}, 404);
            return;
        }
        plan = m_plans.at(id);
        plan.cutAfterEvents = -1;
        plan.cutBeforeAnswer = false;
        plan.truncated = false;
        m_model.attach(id, absl::Now());
    }
    stream(response, plan, std::max(offset, 0));
}

void engine_server::cancel(const httplib::Request &request, httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const std::lock_guard lock(m_mutex);
    const bool cancelled = m_model.cancel(request.matches[1], absl::Now());
    answerJson(response, {{"cancelled", cancelled}}, cancelled ? 200 : 404);
}

void engine_server::reportLoad(httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const std::lock_guard lock(m_mutex);
    const absl::Time now = absl::Now();
    const engine_load load = m_model.reportedLoad(now);
    answerJson(response,
               {{"instance", m_model.instance()},
                {"running", load.running},
                {"waiting", load.waiting},
                {"uptimeSeconds", absl::ToDoubleSeconds(m_model.uptime(now))},
                {"leaving", m_model.isDraining()},
                {"cold", m_model.isCold(now)}});
}

void engine_server::handleOrder(const httplib::Request &request, httplib::Response &response)
{
    if (holdsIfUnresponsive())
        return;
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const auto fencing = body.find("fencing");
    if (fencing == body.end() || !fencing->is_number_integer()) {
        answerJson(response, {{"error", "fencing must be an integer"}}, 400);
        return;
    }
    const std::lock_guard lock(m_mutex);
    const bool accepted = m_model.order(fencing->get<std::int64_t>(), absl::Now());
    answerJson(response, {{"taken", accepted}}, accepted ? 200 : 409);
}

void engine_server::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const std::lock_guard lock(m_mutex);
    if (body.value("cold", false))
        m_model.restart(absl::Now());
    if (body.contains("leaving"))
        m_model.setDraining(body.value("leaving", false));
    if (body.contains("loadLagMs"))
        m_model.setLoadLag(absl::Milliseconds(body.value("loadLagMs", 0)));
    m_faults.refuseAll = body.value("refuseAll", m_faults.refuseAll);
    m_faults.unresponsive = body.value("silent", m_faults.unresponsive);
    m_faults.cutAfterEvents = body.value("cutAfterEvents", m_faults.cutAfterEvents);
    m_faults.cutBeforeAnswer = body.value("cutBeforeAnswer", m_faults.cutBeforeAnswer);
    m_faults.crossAnswers = body.value("crossAnswers", m_faults.crossAnswers);
    m_faults.truncate = body.value("truncate", m_faults.truncate);
    if (body.contains("delayMs"))
        m_faults.delay = absl::Milliseconds(body.value("delayMs", 0));
    answerJson(response, {{"set", true}});
}

void engine_server::reportCounts(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    m_model.reportedLoad(absl::Now());
    const engine_counts &counts = m_model.counts();
    answerJson(response,
               {{"executions", counts.executions},
                {"peakRunning", counts.peakRunning},
                {"coldLimitExceeded", counts.coldLimitExceeded},
                {"restarts", counts.restarts},
                {"refused", counts.refused},
                {"cancelled", counts.cancelled},
                {"ordersTaken", counts.ordersAccepted},
                {"ordersRefused", counts.ordersRejected},
                {"busySlotSeconds", absl::ToDoubleSeconds(counts.busySlotTime)},
                {"bearableSlotSeconds", absl::ToDoubleSeconds(counts.availableSlotTime)}});
}

engine_progress engine_server::progressOf(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_model.progress(requestId, absl::Now());
}

void engine_server::detach(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    m_model.detach(requestId, absl::Now());
}

} // namespace quetzal::standins
