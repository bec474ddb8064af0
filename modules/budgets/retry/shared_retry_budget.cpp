#include "budgets/retry/shared_retry_budget.h"

#include <algorithm>

namespace quetzal {

shared_retry_budget::shared_retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

shared_retry_budget::account &shared_retry_budget::accountOf(const std::string &service)
{
    return m_accounts
        .try_emplace(service,
                     account {.requests = sliding_counter(m_limits.window),
                              .retries = sliding_counter(m_limits.window)})
        .first->second;
}

void shared_retry_budget::setLimits(const retry_limits &limits)
{
    m_limits.ratio = limits.ratio;
    m_limits.allowance = limits.allowance;
}

void shared_retry_budget::onRequest(const std::string &service, absl::Time now)
{
    accountOf(service).requests.add(now);
}

bool shared_retry_budget::trySpend(const std::string &service, std::size_t routers, absl::Time now)
{
    account &entry = accountOf(service);
    const double routerCount = static_cast<double>(std::max<std::size_t>(routers, 1));
    const double earned = m_limits.ratio * static_cast<double>(entry.requests.count(now));
    const double limit = usableFraction * (earned + m_limits.allowance / routerCount);
    if (static_cast<double>(entry.retries.count(now)) + 1.0 > limit)
        return false;
    entry.retries.add(now);
    return true;
}

} // namespace quetzal
