#include "apps/admin/fleet_client.h"

#include "transport/http/http_call.h"

#include <atomic>
#include <thread>

namespace quetzal {

namespace {

constexpr std::size_t maxFetchThreads = 8;

std::optional<node_status> fetchStatus(const endpoint &address)
{
    const std::optional<std::string> body = fetchBody(address, "/v1/status");
    return body ? readNodeStatus(*body) : std::nullopt;
}

} // namespace

fleet_client::fleet_client(const admin_settings &settings)
{
    for (const admin_environment &environment : settings.environments)
        m_schedulers[environment.name] = environment.schedulers;
}

fleet_statuses fleet_client::fetch(const std::string &environment) const
{
    const auto found = m_schedulers.find(environment);
    if (found == m_schedulers.end())
        return {};
    const std::vector<scheduler_address> &schedulers = found->second;
    std::vector<std::optional<node_status>> answers(schedulers.size());
    std::atomic<std::size_t> next = 0;
    const auto fetchRemaining = [&] {
        for (std::size_t index = next++; index < schedulers.size(); index = next++)
            answers[index] = fetchStatus(schedulers[index].status);
    };
    std::vector<std::thread> threads;
    for (std::size_t count = 1; count < std::min(maxFetchThreads, schedulers.size()); ++count)
        threads.emplace_back(fetchRemaining);
    fetchRemaining();
    for (std::thread &thread : threads)
        thread.join();

    fleet_statuses statuses;
    for (std::size_t index = 0; index < schedulers.size(); ++index)
        statuses[schedulers[index].vm] = answers[index];
    return statuses;
}

} // namespace quetzal
