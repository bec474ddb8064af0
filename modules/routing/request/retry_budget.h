#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>

namespace quetzal {

/**
 * Limits the retries of each service to a fraction of its requests.
 *
 * Every request adds a fraction of a retry to the service's balance, which is bounded; a retry
 * spends one. The balance starts at its maximum.
 */
class retry_budget
{
public:
    /** Retries that one request adds to the balance. */
    static constexpr double retriesPerRequest = 0.1;
    /** Maximum balance, in retries. */
    static constexpr double maxBalance = 10.0;

    /** Records a new request of the service. */
    void onRequest(const std::string &service);
    /** Spends one retry if the budget allows it. */
    bool trySpend(const std::string &service);

private:
    absl::flat_hash_map<std::string, double> m_balances;
};

} // namespace quetzal
