#pragma once

#include "emulator/fleet/fleet_plan.h"
#include "emulator/observation/fleet_observer.h"
#include "emulator/observation/share_meter.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quetzal::bench {

/** The limits that invariant_checker enforces. */
struct invariant_limits
{
    /** Requests that a cold target of each service may receive within one second. */
    absl::flat_hash_map<std::string, double> coldRequests;
    /**
     * Length of the window in which retries are counted. A service may have retryRatio times its
     * requests in the window, plus retryAllowance.
     */
    absl::Duration retryWindow = absl::Seconds(10);
    double retryRatio = 0.2;
    double retryAllowance = 50.0;
};

/**
 * Checks the invariants of a fleet from what callers and targets observe.
 *
 * Non-repeatable requests are executed at most once, a request rejected as not executed is not
 * executed, answers are complete and belong to their request, cold targets and retries stay within
 * their limits, and each attempt ends exactly once. Configuration versions are checked by the owner
 * of the fleet.
 */
class invariant_checker : public fleet_observer
{
public:
    explicit invariant_checker(invariant_limits limits);

    void onArrival(const target_arrival &arrival) override;
    void onExecutionStarted(const std::string &requestId, int lastEvent, absl::Time now) override;
    void onPromptProcessed(std::int64_t tokens, std::int64_t repeatedTokens) override;

    /** Must be called when a caller sends an attempt. */
    void onAttemptSent(const std::string &requestId, const std::string &service, bool isRepeatable,
                       absl::Time now);
    /**
     * Must be called when an attempt ends. @param isReportedNotExecuted true if the router answered
     * that the request was not executed
     */
    void onAttemptEnded(const std::string &requestId, bool isReportedNotExecuted);
    /**
     * Must be called when an attempt's answer is complete. @param isCorrect true if it is what the
     * target sends for this request
     */
    void onAnswer(const std::string &requestId, bool isCorrect);
    /** Records a violation; after the first 20, further ones are dropped. */
    void addViolation(const std::string &violation);

    /** Returns the recorded violations and the attempts without an end, at most 20 in total. */
    std::vector<std::string> violations() const;
    /** Return the sums of the values passed to onPromptProcessed(). */
    std::int64_t promptTokens() const { return m_promptTokens; }
    std::int64_t repeatedTokens() const { return m_repeatedTokens; }
    /** Returns the meter of the tokens that each workspace received. */
    share_meter &shares() { return m_shares; }

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
    /** Arrivals at cold targets within the last second, by target and incarnation. */
    absl::flat_hash_map<std::string, std::deque<absl::Time>> m_coldArrivals;
    std::vector<std::string> m_violations;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_repeatedTokens = 0;
    share_meter m_shares;
};

} // namespace quetzal::bench
