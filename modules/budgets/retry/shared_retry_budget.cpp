#include "budgets/retry/shared_retry_budget.h"

namespace quetzal {

shared_retry_budget::shared_retry_budget(retry_limits limits, absl::Time startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
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
    if (routers == 0)
        return false;
    account &entry = accountOf(service);
    const double allowance = m_limits.allowance / static_cast<double>(routers);
    const double earned = m_limits.ratio * static_cast<double>(entry.requests.count(now));
    const double limit = usableFraction * earned + allowanceFraction(now) * allowance;
    if (static_cast<double>(entry.retries.count(now)) + 1.0 > limit)
        return false;
    entry.retries.add(now);
    return true;
}

double shared_retry_budget::allowanceFraction(absl::Time now) const
{
    return now < m_startedAt + m_limits.window ? 1.0 - usableFraction : usableFraction;
}

} // namespace quetzal
