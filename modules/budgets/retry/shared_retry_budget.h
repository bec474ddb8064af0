#pragma once

#include "budgets/window/sliding_counter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace quetzal {

/** How many repeated sends the whole fleet may make to a service within a window. */
struct retry_limits
{
    absl::Duration window = absl::Seconds(10);
    /** Repeats for each request of the window. */
    double ratio = 0.1;
    /** Repeats of the whole fleet on top. */
    double allowance = 0.0;

    bool operator==(const retry_limits &) const = default;
};

/** This router's part of the fleet's budget of repeated sends, by service. */
class shared_retry_budget
{
public:
    /** The part of a limit that is used, because requests of a window are counted late. */
    static constexpr double usableFraction = 0.7;

    explicit shared_retry_budget(retry_limits limits);

    /** Replaces the ratio and the allowance; the window stays as it is. */
    void setLimits(const retry_limits &limits);
    /** A request for the service arrived. */
    void onRequest(const std::string &service, absl::Time now);
    /** Takes one repeat if the budget holds one; routers: how many share it. */
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
