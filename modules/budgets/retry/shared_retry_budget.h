#pragma once

#include "budgets/window/sliding_counter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace quetzal {

/** How many retries the whole fleet may send to a service within a window. */
struct retry_limits
{
    absl::Duration window = absl::Seconds(10);
    /** Retries per request that was counted within the window. */
    double ratio = 0.1;
    /** Additional retries of the whole fleet within the window. */
    double allowance = 0.0;

    bool operator==(const retry_limits &) const = default;
};

/** This router's share of the fleet's retry budget, by service. */
class shared_retry_budget
{
public:
    /** The fraction of a limit that is spent, because requests of a window are counted late. */
    static constexpr double usableFraction = 0.7;

    explicit shared_retry_budget(retry_limits limits);

    /** Replaces the ratio and the allowance; the window stays as it is. */
    void setLimits(const retry_limits &limits);
    /** Counts a request for the service, which adds to its budget. */
    void onRequest(const std::string &service, absl::Time now);
    /** Takes one retry if the budget allows it; routers is the number of routers that share it. */
    bool trySpend(const std::string &service, std::size_t routers, absl::Time now);

private:
    struct account
    {
        sliding_counter requests;
        sliding_counter retries;
    };

    account &accountOf(const std::string &service);

    retry_limits m_limits;
    absl::flat_hash_map<std::string, account> m_accounts;
};

} // namespace quetzal
