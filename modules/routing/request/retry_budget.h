#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>

namespace quetzal {

/**
 * Bounds the retries of each service to a fraction of its requests.
 *
 * Every request earns a fraction of a retry, up to a reserve; a retry spends one.
 */
class retry_budget
{
public:
    /** Retries that one request earns. */
    static constexpr double retriesPerRequest = 0.1;
    /** Most retries that can be saved up. */
    static constexpr double maxBalance = 10.0;

    /** A new request of the service arrived. */
    void onRequest(const std::string &service);
    /** Spends one retry if the budget allows it. */
    bool trySpend(const std::string &service);

private:
    absl::flat_hash_map<std::string, double> m_balances;
};

} // namespace quetzal
