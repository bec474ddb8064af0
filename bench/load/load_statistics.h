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

/** A request that was sent, as far as the statistics need it. */
struct load_request
{
    /** "<workspace>/<caller's request id>", the form in which targets log it. */
    std::string callerRequestId;
    std::string workspace;
    std::string service;
    bool idempotent = false;
    /**
     * Service counted for a complete answer; 0 if the service counts tokens, which are counted as
     * they arrive.
     */
    double answerWeight = 0.0;

    bool operator==(const load_request &) const = default;
};

/** An entry of a target's execution log: the start of one execution of a request. */
struct logged_execution
{
    std::string callerRequestId;
    std::string dataCentre;
    absl::Time started;

    bool operator==(const logged_execution &) const = default;
};

/**
 * An interval during which a data centre was out of use. It starts when the administration API
 * accepted the change.
 */
struct outage_window
{
    std::string dataCentre;
    absl::Time from;
    absl::Time to;

    bool operator==(const outage_window &) const = default;
};

/** Percentiles of a latency; all zero if there are no samples. */
struct latency_summary
{
    std::int64_t samples = 0;
    absl::Duration median;
    absl::Duration p95;
    absl::Duration p99;

    bool operator==(const latency_summary &) const = default;
};

/** Counters of one workspace. */
struct workspace_statistics
{
    std::int64_t sent = 0;
    std::int64_t whole = 0;
    std::int64_t wrong = 0;
    std::int64_t broken = 0;
    std::int64_t tokens = 0;
    /** Number of rejections by result code and execution ("not_run", "outcome_unknown" or "run").
     */
    std::map<std::pair<int, std::string>, std::int64_t> refused;
    /** Amount of service received, by name of the service and in the service's unit. */
    std::map<std::string, double> service;

    bool operator==(const workspace_statistics &) const = default;
};

/** Violations of the fleet's guarantees over the whole run. In a correct run all are zero. */
struct load_violations
{
    /** Answers that are malformed or differ from the expected ones. */
    std::int64_t wrongAnswers = 0;
    /** Answers whose connection ended early, without a result code. */
    std::int64_t brokenAnswers = 0;
    /** Executions of non-idempotent requests beyond the first one. */
    std::int64_t duplicateExecutions = 0;
    /** Requests rejected as "not_run" that a target did execute. */
    std::int64_t executedDespiteNotRun = 0;
    /** Requests with a complete answer that no target has in its execution log. */
    std::int64_t answeredWithoutExecution = 0;
    /** Executions started in a data centre that had been out of use for more than grace. */
    std::int64_t startedDuringOutage = 0;
    /** Workspaces that sent requests and received no complete answer. */
    std::int64_t starvedWorkspaces = 0;
    /** How often a cold target received more load than it can serve. */
    std::int64_t coldLimitExceeded = 0;
    /** Services whose gap exceeds the bound in the settings. */
    std::int64_t gapsAboveBound = 0;

    bool operator==(const load_violations &) const = default;
    /** True if there is any violation. */
    bool any() const { return *this != load_violations {}; }
};

/**
 * Collects the requests, answers and latencies of a load run, and compares them with the targets'
 * execution logs.
 *
 * The class does no I/O and is not thread-safe; callers must serialise access.
 */
class load_statistics
{
public:
    /** Records that a request is about to be sent. */
    void start(const load_request &request, absl::Time now);
    /** Records that tokens of a request have arrived. */
    void addTokens(const std::string &callerRequestId, int count, absl::Time now);
    /** Records that a request has ended. */
    void finish(const std::string &callerRequestId, const load_result &result, absl::Time now);

    /**
     * Compares the requests with the execution logs of all targets and returns the violations. To
     * be called after the last request has ended. Violations that cannot be determined from the
     * logs stay 0. An execution counts as started during an outage only if it started more than
     * grace after the start of the outage.
     */
    load_violations reconcile(const std::vector<logged_execution> &executions,
                              const std::vector<outage_window> &windows,
                              absl::Duration grace) const;

    const std::map<std::string, workspace_statistics> &workspaces() const { return m_workspaces; }
    /** Returns the time from sending to the first token of a workspace's requests. */
    latency_summary firstToken(const std::string &workspace) const;
    /** Returns the time between tokens; tokens that arrive together count once, by their mean. */
    latency_summary betweenTokens(const std::string &workspace) const;
    /** Returns the time from sending a request to the end of its complete answer. */
    latency_summary completeAnswer(const std::string &workspace) const;
    /** Returns the number of a workspace's requests that are in progress at a service. */
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
        std::vector<absl::Duration> completeAnswer;
    };

    std::map<std::string, request_state> m_requests;
    std::map<std::string, workspace_statistics> m_workspaces;
    std::map<std::string, latency_samples> m_latencies;
    std::map<std::pair<std::string, std::string>, int> m_inProgress;
};

/** Returns the percentiles of samples. */
latency_summary summarise(std::vector<absl::Duration> samples);

} // namespace quetzal
