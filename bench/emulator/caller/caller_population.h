#pragma once

#include "emulator/caller/load_plan.h"
#include "emulator/caller/random_source.h"
#include "emulator/fleet/emulated_fleet.h"
#include "emulator/observation/invariant_checker.h"
#include "emulator/observation/service_statistics.h"
#include "simulation/event_queue.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Emulates all callers: sends the load to the routers, retries, and checks the answers. */
class caller_population
{
public:
    caller_population(event_queue &events, emulated_fleet &fleet, invariant_checker &invariants,
                      load_plan plan);

    /** Starts to send requests; no new ones are sent after the duration. */
    void start(absl::Duration duration);
    const service_statistics &statistics() const { return m_statistics; }
    const load_plan &plan() const { return m_plan; }
    absl::Time startedAt() const { return m_startedAt; }
    /** Returns the number of attempts in progress. */
    std::size_t openAttempts() const { return m_openAttempts; }
    /** Returns the number of attempts that ended because their router did not read them in time. */
    std::size_t unreadAttempts() const { return m_unreadAttempts; }
    /** Sets a factor for the load from now on. */
    void setLoadFactor(double factor) { m_loadFactor = factor; }

private:
    /** A request of a caller over all attempts. */
    struct caller_operation
    {
        std::size_t classIndex = 0;
        std::size_t workspace = 0;
        std::size_t dataCentre = 0;
        caller_request request;
        absl::Time sentAt;
        int attempts = 0;
        /** Size relative to the mean of the class; scales the worth. */
        double size = 1.0;
        bool willAbandon = false;
    };
    /** An attempt in progress. */
    struct caller_attempt
    {
        std::shared_ptr<caller_operation> operation;
        std::string id;
        /** The router process that received the attempt; null before that. */
        emulated_router *router = nullptr;
        std::uint64_t number = 0;
        std::string body;
        absl::Time lastTextAt = absl::InfinitePast();
        absl::Duration firstEventDelay;
        absl::Duration longestGap;
        bool isFinished = false;
    };

    double loadFactorOf(std::size_t workspace) const;
    void scheduleNext(std::size_t classIndex);
    std::shared_ptr<caller_operation> makeOperation(std::size_t classIndex);
    std::vector<prompt_part> makePrompt(const class_plan &kind, std::size_t classIndex);
    /**
     * Returns a random VM in rotation, preferably in the caller's data centre; always the same one
     * for a workspace whose callers connect to a single VM.
     */
    std::optional<std::size_t> pickVm(const caller_operation &operation);
    void updateRotation();
    void attempt(const std::shared_ptr<caller_operation> &operation);
    void onEvent(const std::shared_ptr<caller_attempt> &attempt, const caller_event &event);
    /** Handles a failed attempt that may have been executed. */
    void onFailure(const caller_attempt &attempt);
    void onRouterAnswer(caller_attempt &attempt, const rejection &reason);
    void onStreamText(caller_attempt &attempt, const std::string &text);
    void onStreamEnd(caller_attempt &attempt);
    void onCompleteAnswer(caller_attempt &attempt, const complete_answer &answer);
    void finishAttempt(caller_attempt &attempt, bool isReportedNotExecuted);
    /** Measures how long the workspace of a finished attempt had to wait. */
    void measureWait(const caller_attempt &attempt, bool isReportedNotExecuted);
    /** Retries after a delay if attempts and time remain; else concludes the request. */
    void retryOrConclude(const std::shared_ptr<caller_operation> &operation, absl::Duration wait,
                         service_outcome outcome);
    void conclude(const caller_operation &operation, service_outcome outcome,
                  absl::Duration waited);
    /** Closes the connection early, on behalf of the caller. */
    void abandon(caller_attempt &attempt);
    /** Retries elsewhere if the router has not read the request. */
    void leaveIfUnread(const std::shared_ptr<caller_attempt> &attempt);
    /** Ends an attempt whose deadline has passed without an answer. */
    void onOverdue(caller_attempt &attempt);

    event_queue &m_events;
    emulated_fleet &m_fleet;
    invariant_checker &m_invariants;
    load_plan m_plan;
    random_source m_random;
    service_statistics m_statistics;
    std::vector<double> m_workspaceWeights;
    std::vector<int> m_failedHealthChecks;
    absl::Time m_startedAt;
    absl::Time m_endsAt;
    double m_loadFactor = 1.0;
    std::uint64_t m_lastId = 0;
    std::size_t m_openAttempts = 0;
    std::size_t m_unreadAttempts = 0;
};

} // namespace quetzal::bench
