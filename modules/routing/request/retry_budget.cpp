#include "routing/request/retry_budget.h"

#include <algorithm>

namespace quetzal {

void retry_budget::onRequest(const std::string &service)
{
    double &balance = m_balances.try_emplace(service, maxBalance).first->second;
    balance = std::min(balance + retriesPerRequest, maxBalance);
}

bool retry_budget::trySpend(const std::string &service)
{
    double &balance = m_balances.try_emplace(service, maxBalance).first->second;
    if (balance < 1.0)
        return false;
    balance -= 1.0;
    return true;
}

} // namespace quetzal
