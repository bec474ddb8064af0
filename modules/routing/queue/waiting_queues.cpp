#include "routing/queue/waiting_queues.h"

#include <algorithm>
#include <utility>

namespace quetzal {

waiting_queues::waiting_queues(int maxRequests)
    : m_maxRequests(maxRequests)
{
}

result_code waiting_queues::push(const request_description &request, const queue_limits &limits,
                                 absl::Time now)
{
    const usage &used = m_usage[request.workspace];
    const bool tooMany = used.requests >= limits.requests;
    const bool tooLarge = used.bytes + request.bytes > limits.bytes;
    if (tooMany || tooLarge)
        return result_code::WorkspaceQueueFull;
    if (m_size >= m_maxRequests)
        return result_code::RouterQueueFull;
    m_queues[request.service][request.workspace].push_back({request, now});
    updateUsage(request, 1);
    return result_code::Ok;
}

void waiting_queues::pushFront(const request_description &request, absl::Time now)
{
    m_queues[request.service][request.workspace].push_front({request, now});
    updateUsage(request, 1);
}

std::optional<request_description> waiting_queues::pop(const std::string &service,
                                                       const std::string &workspace)
{
    const auto byWorkspace = m_queues.find(service);
    if (byWorkspace == m_queues.end())
        return std::nullopt;
    const auto found = byWorkspace->second.find(workspace);
    if (found == byWorkspace->second.end())
        return std::nullopt;

    request_description request = std::move(found->second.front().request);
    found->second.pop_front();
    if (found->second.empty())
        byWorkspace->second.erase(found);
    if (byWorkspace->second.empty())
        m_queues.erase(byWorkspace);
    updateUsage(request, -1);
    return request;
}

bool waiting_queues::remove(request_id request)
{
    return !extract([request](const entry &candidate) {
                return candidate.request.id == request;
            }).empty();
}

std::vector<request_description> waiting_queues::popExpired(absl::Time now)
{
    return extract([now](const entry &candidate) { return candidate.request.deadline <= now; });
}

std::vector<request_description> waiting_queues::popAll()
{
    return extract([](const entry &) { return true; });
}

std::vector<queue_summary> waiting_queues::summaries(const std::string &service) const
{
    std::vector<queue_summary> result;
    const auto byWorkspace = m_queues.find(service);
    if (byWorkspace == m_queues.end())
        return result;
    for (const auto &[workspace, waiting] : byWorkspace->second) {
        const entry &head = waiting.front();
        result.push_back({.workspace = workspace,
                          .waiting = static_cast<int>(waiting.size()),
                          .headKind = head.request.requestKind,
                          .headHint = head.request.hint,
                          .headSince = head.since});
    }
    return result;
}

std::vector<std::string> waiting_queues::services() const
{
    std::vector<std::string> result;
    for (const auto &[service, byWorkspace] : m_queues)
        result.push_back(service);
    return result;
}

void waiting_queues::updateUsage(const request_description &request, int sign)
{
    usage &used = m_usage[request.workspace];
    used.requests += sign;
    used.bytes += sign * request.bytes;
    m_size += sign;
    if (used.requests == 0)
        m_usage.erase(request.workspace);
}

template <typename Predicate>
std::vector<request_description> waiting_queues::extract(Predicate isWanted)
{
    std::vector<request_description> result;
    for (auto &[service, byWorkspace] : m_queues) {
        for (auto &[workspace, waiting] : byWorkspace) {
            const auto firstWanted = std::stable_partition(
                waiting.begin(), waiting.end(),
                [&isWanted](const entry &candidate) { return !isWanted(candidate); });
            for (auto item = firstWanted; item != waiting.end(); ++item)
                result.push_back(std::move(item->request));
            waiting.erase(firstWanted, waiting.end());
        }
        std::erase_if(byWorkspace, [](const auto &item) { return item.second.empty(); });
    }
    std::erase_if(m_queues, [](const auto &item) { return item.second.empty(); });
    for (const request_description &request : result)
        updateUsage(request, -1);
    return result;
}

} // namespace quetzal
