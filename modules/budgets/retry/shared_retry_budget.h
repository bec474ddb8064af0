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

/**
 * This router's share of the fleet's retry budget, by service.
 *
 * An earlier process of this router may have spent its part of the allowance just before it ended.
 * So a process spends only what that one left of the allowance, until the window has passed.
 */
class shared_retry_budget
{
public:
    /** The fraction of a limit that is spent, because requests of a window are counted late. */
    static constexpr double usableFraction = 0.7;

    /** @param startedAt when the process started; the infinite past if there was none before it */
    explicit shared_retry_budget(retry_limits limits, absl::Time startedAt = absl::InfinitePast());

    /** Replaces the ratio and the allowance; the window stays as it is. */
    void setLimits(const retry_limits &limits);
    /** Counts a request for the service, which adds to its budget. */
    void onRequest(const std::string &service, absl::Time now);
    /**
     * Takes one retry if the budget allows it; routers is the number of routers that share it, 0 if
     * they are not known, so that none may be spent.
     */
    bool trySpend(const std::string &service, std::size_t routers, absl::Time now);

private:
    struct account
    {
        sliding_counter requests;
        sliding_counter retries;
    };

    account &accountOf(const std::string &service);
    /** Returns the fraction of the allowance that may be spent. */
    double allowanceFraction(absl::Time now) const;

    retry_limits m_limits;
    absl::Time m_startedAt;
    absl::flat_hash_map<std::string, account> m_accounts;
};

} // namespace quetzal
