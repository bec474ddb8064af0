#include "apps/edge/target_pool.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** Idle connections are closed this long before the target would close them. */
constexpr absl::Duration idleMargin = absl::Milliseconds(700);
/** Idle timeout assumed for targets that announce none. */
constexpr absl::Duration defaultIdleTimeout = absl::Seconds(4);

absl::Duration idleLimit(const target_connection &connection)
{
    const absl::Duration announced = connection.idleTimeout();
    return (announced > absl::ZeroDuration() ? announced : defaultIdleTimeout) - idleMargin;
}

} // namespace

target_pool::target_pool(boost::asio::io_context &loop)
    : m_loop(loop)
{
}

std::shared_ptr<target_connection> target_pool::acquire(const connection_request &request,
                                                        absl::Time now)
{
    auto &target = m_targets[request.target];
    if (!target)
        target = std::make_shared<target_connections>();
    while (!target->idle.empty()) {
        const idle_connection candidate = target->idle.back();
        const absl::Duration idleFor = now - candidate.since;
        const bool isFresh
            = idleFor <= request.maxIdleTime && idleFor <= idleLimit(*candidate.connection);
        if (!isFresh)
            break;
        target->idle.pop_back();
        if (candidate.connection->isReusable())
            return candidate.connection;
    }
    if (request.maxConnections > 0 && target->open >= request.maxConnections) {
        if (target->idle.empty())
            return nullptr;
        const auto oldest = target->idle.front().connection;
        target->idle.erase(target->idle.begin());
        oldest->cancel();
    }
    auto connection = std::make_shared<target_connection>(m_loop, request.address);
    ++target->open;
    ++m_openedCount;
    connection->setOnClosed([weak = std::weak_ptr(target)] {
        if (const auto owner = weak.lock()) {
            --owner->open;
            std::erase_if(owner->idle,
                          [](const idle_connection &entry) { return !entry.connection->isOpen(); });
        }
    });
    return connection;
}

void target_pool::release(const std::string &target,
                          const std::shared_ptr<target_connection> &connection, absl::Time now)
{
    if (!connection->isReusable()) {
        connection->cancel();
        return;
    }
    m_targets[target]->idle.push_back({.connection = connection, .since = now});
}

void target_pool::closeIdle(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    const auto idle = std::exchange(found->second->idle, {});
    for (const idle_connection &entry : idle)
        entry.connection->cancel();
    if (found->second->open <= 0)
        m_targets.erase(found);
}

void target_pool::closeExpired(absl::Time now)
{
    for (auto &[name, target] : m_targets) {
        std::vector<std::shared_ptr<target_connection>> expired;
        std::erase_if(target->idle, [&](const idle_connection &entry) {
            const bool isExpired = now - entry.since > idleLimit(*entry.connection);
            if (isExpired)
                expired.push_back(entry.connection);
            return isExpired;
        });
        for (const auto &connection : expired)
            connection->cancel();
    }
}

} // namespace quetzal
