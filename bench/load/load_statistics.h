#pragma once

#include "bench/load/answer_checker.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** A request as it was sent. */
struct load_request
{
    /** "<workspace>/<caller request id>", as targets log it. */
    std::string callerRequestId;
    std::string workspace;
    std::string service;
    bool idempotent = false;
    /** Service counted for a whole answer; tokens are counted as they come instead. */
    double answerWeight = 0.0;

    bool operator==(const load_request &) const = default;
};

/** An entry of a target's execution log. */
struct logged_execution
{
    std::string callerRequestId;
    std::string dataCentre;
    absl::Time started;

    bool operator==(const logged_execution &) const = default;
};

/** A time during which a data centre was out of use, from the acceptance of that change. */
struct outage_window
{
    std::string dataCentre;
    absl::Time from;
    absl::Time to;

    bool operator==(const outage_window &) const = default;
};

/** Percentiles of a latency; zero without a sample. */
struct latency_summary
{
    std::int64_t samples = 0;
    absl::Duration median;
    absl::Duration p95;
    absl::Duration p99;

    bool operator==(const latency_summary &) const = default;
};

/** Everything counted for one workspace. */
struct workspace_statistics
{
    std::int64_t sent = 0;
    std::int64_t whole = 0;
    std::int64_t wrong = 0;
    std::int64_t broken = 0;
    std::int64_t tokens = 0;
    /** Refusals by (code, execution). */
    std::map<std::pair<int, std::string>, std::int64_t> refused;
    /** Service received, by service and in its unit. */
    std::map<std::string, double> service;

    bool operator==(const workspace_statistics &) const = default;
};

/** What must hold, counted over the whole run; each must be zero. */
struct load_violations
{
    std::int64_t wrongAnswers = 0;
    /** Answers that ended without a numbered result. */
    std::int64_t brokenAnswers = 0;
    /** Executions of a non-idempotent call after its first. */
    std::int64_t duplicateExecutions = 0;
    /** Requests told "not run" that a target executed. */
    std::int64_t executedDespiteNotRun = 0;
    /** Requests answered whole that no target executed. */
    std::int64_t answeredWithoutExecution = 0;
    /** Executions begun in a data centre that was out for longer than the grace. */
    std::int64_t startedDuringOutage = 0;
    /** Workspaces that sent requests and got no whole answer. */
    std::int64_t starvedWorkspaces = 0;
    /** How often a cold target was given more than it bears. */
    std::int64_t coldLimitExceeded = 0;
    /** Services whose gap is above the settings' bound. */
    std::int64_t gapsAboveBound = 0;

    bool operator==(const load_violations &) const = default;
    bool any() const { return *this != load_violations {}; }
};

/**
 * Keeps the books of a load run: what was sent, what was answered, and what targets executed.
 *
 * It has no I/O; the caller serialises access.
 */
class load_statistics
{
public:
    /** A request is about to be sent. */
    void start(const load_request &request, absl::Time now);
    /** Tokens of a request arrived. */
    void addTokens(const std::string &callerRequestId, int count, absl::Time now);
    /** A request ended. */
    void finish(const std::string &callerRequestId, const load_result &result, absl::Time now);

    /**
     * Compares with the execution logs of all targets, after the last request has ended; what is
     * not known from them stays 0.
     */
    load_violations reconcile(const std::vector<logged_execution> &executions,
                              const std::vector<outage_window> &windows,
                              absl::Duration grace) const;

    const std::map<std::string, workspace_statistics> &workspaces() const { return m_workspaces; }
    latency_summary firstToken(const std::string &workspace) const;
    latency_summary betweenTokens(const std::string &workspace) const;
    latency_summary wholeAnswer(const std::string &workspace) const;
    /** Requests of a workspace in progress at a service. */
    int inProgress(const std::string &workspace, const std::string &service) const;

private:
    struct request_state
    {
        load_request request;
        absl::Time started;
        absl::Time lastToken = absl::InfinitePast();
        bool finished = false;
        load_result result;
    };
    struct latency_samples
    {
        std::vector<absl::Duration> firstToken;
        std::vector<absl::Duration> betweenTokens;
        std::vector<absl::Duration> wholeAnswer;
    };

    std::map<std::string, request_state> m_requests;
    std::map<std::string, workspace_statistics> m_workspaces;
    std::map<std::string, latency_samples> m_latencies;
    std::map<std::pair<std::string, std::string>, int> m_inProgress;
};

/** Percentiles of samples. */
latency_summary summarise(std::vector<absl::Duration> samples);

} // namespace quetzal
