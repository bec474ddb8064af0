#pragma once

#include "emulator/account/fleet_observer.h"
#include "emulator/fleet/fleet_plan.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Limits that the oracle checks from outside. */
struct invariant_limits
{
    /** Requests that a cold target of a service may get within one second. */
    absl::flat_hash_map<std::string, double> coldRequests;
    /** Repeats of a service within the window: ratio times its requests, and an allowance. */
    absl::Duration retryWindow = absl::Seconds(10);
    double retryRatio = 0.2;
    double retryAllowance = 50.0;
};

/**
 * Checks what must always hold, from what callers and targets see.
 *
 * At most once, refused means not run, whole answers, cold targets, the budget of repeats, and one
 * end for each request. Versions of the configuration are checked by the owner of the fleet.
 */
class invariant_checker : public fleet_observer
{
public:
    explicit invariant_checker(invariant_limits limits);

    void onArrival(const target_arrival &arrival) override;
    void onRun(const std::string &requestId, int lastEvent, absl::Time now) override;
    void onPromptRead(std::int64_t tokens, std::int64_t repeatedTokens) override;

    /** A caller sent an attempt. */
    void onSent(const std::string &requestId, const std::string &service, bool isRepeatable,
                absl::Time now);
    /** The attempt ended; isReportedNotExecuted: its caller was told that it did not run. */
    void onEnded(const std::string &requestId, bool isReportedNotExecuted);
    /** The attempt's answer was complete; isCorrect: it was the target's answer to it. */
    void onAnswer(const std::string &requestId, bool isCorrect);
    void addViolation(const std::string &violation);

    /** Every broken promise, the first of each kind in words. */
    std::vector<std::string> violations() const;
    std::int64_t promptTokens() const { return m_promptTokens; }
    std::int64_t repeatedTokens() const { return m_repeatedTokens; }

private:
    struct attempt
    {
        std::string service;
        bool isRepeatable = false;
        int arrivals = 0;
        int runs = 0;
        int ends = 0;
        bool isReportedNotExecuted = false;
    };
    struct service_traffic
    {
        std::deque<absl::Time> requests;
        std::deque<absl::Time> retries;
    };

    void checkRetries(const std::string &service, absl::Time now);

    invariant_limits m_limits;
    absl::flat_hash_map<std::string, attempt> m_attempts;
    absl::flat_hash_map<std::string, service_traffic> m_traffic;
    /** Requests that cold targets took within the last second, by target and life. */
    absl::flat_hash_map<std::string, std::deque<absl::Time>> m_coldArrivals;
    std::vector<std::string> m_violations;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_repeatedTokens = 0;
};

} // namespace quetzal::bench
