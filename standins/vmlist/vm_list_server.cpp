#include "standins/vmlist/vm_list_server.h"

#include <absl/time/clock.h>

#include <utility>

namespace quetzal::standins {

vm_list_server::vm_list_server(nlohmann::json vms, absl::Duration lag)
    : m_model(std::move(vms), lag, absl::Now())
{
    m_server.Get("/v1/vms", [this](const auto &, auto &response) { list(response); });
    m_server.Post("/standin/vms",
                  [this](const auto &request, auto &response) { replace(request, response); });
    m_server.Post("/standin/state",
                  [this](const auto &request, auto &response) { setState(request, response); });
    m_server.Post("/standin/lag",
                  [this](const auto &request, auto &response) { setLag(request, response); });
    m_server.Get("/standin/counts", [this](const auto &, auto &response) {
        const std::lock_guard lock(m_mutex);
        answerJson(response, {{"reads", m_reads}});
    });
}

void vm_list_server::start(const std::string &ip, int port)
{
    m_server.start(ip, port);
}

void vm_list_server::finish()
{
    m_server.finish();
}

void vm_list_server::list(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    answerJson(response, {{"vms", m_model.visibleVms(absl::Now())}});
}

void vm_list_server::replace(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    if (!body.contains("vms") || !body["vms"].is_array()) {
        answerJson(response, {{"error", "vms must be a list"}}, 400);
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_model.replace(body["vms"], absl::Now());
    answerJson(response, {{"set", true}});
}

void vm_list_server::setState(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const std::lock_guard lock(m_mutex);
    const bool found = m_model.setState(body.value("id", ""), body.value("state", ""), absl::Now());
    answerJson(response, {{"set", found}}, found ? 200 : 404);
}

void vm_list_server::setLag(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = readJsonObject(request, response);
    if (body.is_null())
        return;
    const std::lock_guard lock(m_mutex);
    m_model.setLag(absl::Seconds(body.value("seconds", 0.0)));
    answerJson(response, {{"set", true}});
}

} // namespace quetzal::standins
