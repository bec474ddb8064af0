#include "bench/load/request_sender.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzal {

namespace {

constexpr int okStatus = 200;
constexpr time_t connectTimeoutSeconds = 2;
/** Added to the request's deadline for the read timeout; then the answer counts as broken. */
constexpr absl::Duration readTimeoutMargin = absl::Seconds(10);

std::string chatBody(const planned_request &request)
{
    const nlohmann::json message = {{"role", "user"}, {"content", request.message}};
    return nlohmann::json {{"model", request.item.model},
                           {"messages", nlohmann::json::array({message})},
                           {"max_tokens", request.tokens},
                           {"stream", request.item.call == call_type::StreamedChat}}
        .dump();
}

httplib::Request httpRequest(const load_settings &settings, const load_workspace &workspace,
                             const planned_request &planned)
{
    httplib::Request request;
    const bool plain = planned.item.call == call_type::Plain;
    request.method = plain ? planned.item.method : "POST";
    request.path = plain ? absl::StrCat("/services/", planned.item.service, planned.item.path)
                         : "/v1/chat/completions";
    if (!plain)
        request.body = chatBody(planned);
    else if (request.method != "GET")
        request.body = planned.message;
    request.set_header("Authorization", "Bearer " + workspace.key);
    request.set_header("Content-Type", plain ? "text/plain" : "application/json");
    request.set_header("Quetzal-Request-Id", planned.requestId);
    request.set_header("Quetzal-Deadline-Ms",
                       std::to_string(absl::ToInt64Milliseconds(settings.deadline)));
    if (planned.hint > 0.0)
        request.set_header("Quetzal-Cost-Hint", std::to_string(planned.hint));
    if (!planned.item.kind.empty())
        request.set_header("Quetzal-Request-Kind", planned.item.kind);
    return request;
}

/** The status and the part of the body that have been received. */
struct received_answer
{
    int status = 0;
    std::string body;
};

} // namespace

request_sender::request_sender(const load_settings &settings, const load_workspace &workspace)
    : m_settings(settings)
    , m_workspace(workspace)
{
}

load_result request_sender::send(const planned_request &request,
                                 const token_callback &onTokens) const
{
    const std::size_t count = m_settings.routers.size();
    load_result result;
    for (std::size_t attempt = 0; attempt < count; ++attempt) {
        const std::size_t index = (static_cast<std::size_t>(request.router) + attempt) % count;
        bool connected = false;
        result = sendTo(m_settings.routers[index], request, onTokens, connected);
        if (connected)
            break;
    }
    return result;
}

load_result request_sender::sendTo(const load_address &router, const planned_request &request,
                                   const token_callback &onTokens, bool &connected) const
{
    httplib::Client client(router.ip, router.port);
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(absl::ToInt64Seconds(m_settings.deadline + readTimeoutMargin));
    client.set_tcp_nodelay(true);

    httplib::Request http = httpRequest(m_settings, m_workspace, request);
    const bool streamed = request.item.call == call_type::StreamedChat;
    stream_checker checker(request.message, request.tokens);
    received_answer answer;
    http.response_handler = [&answer](const httplib::Response &response) {
        answer.status = response.status;
        return true;
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (streamed && answer.status == okStatus)
            onTokens(checker.add({data, size}));
        else
            answer.body.append(data, size);
        return true;
    };
    const httplib::Result result = client.send(http);
    connected = result || result.error() != httplib::Error::Connection;

    if (streamed && answer.status == okStatus)
        return checker.finish(static_cast<bool>(result));
    if (!result)
        return {};
    if (request.item.call != call_type::Plain) {
        const load_result checked
            = checkCompletion(answer.status, answer.body, request.message, request.tokens);
        onTokens(checked.tokens);
        return checked;
    }
    return checkPlainAnswer(answer.status, answer.body,
                            absl::StrCat(m_workspace.name, "/", request.requestId), http.method,
                            request.item.path, http.body);
}

} // namespace quetzal
