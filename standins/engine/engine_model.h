#pragma once

#include "standins/common/execution_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzal::standins {

/** Options of an engine_model. */
struct engine_options
{
    std::string id {};
    std::string service {};
    /** Requests that a warm engine generates concurrently. */
    int slots = 8;
    /** Requests, queued ones included, that a cold engine can hold; one more crashes it. */
    int coldSlots = 1;
    /** The engine becomes warm after this time and warmAnswers complete answers. */
    absl::Duration coldTime = absl::Seconds(10);
    int warmAnswers = 3;
    /** Whether the engine is warm from its first start; after a restart it is cold. */
    bool startsWarm = false;
    /** Maximum of queued requests; further ones are rejected as overloaded. */
    int maxQueued = 64;
    double tokensPerSecond = 50.0;
    absl::Duration timeToFirstToken = absl::Milliseconds(100);
    /** Age of the load that reportedLoad() returns. */
    absl::Duration loadLag = absl::Milliseconds(500);
    /** Time after which a request without a connection is cancelled. */
    absl::Duration detachTimeout = absl::Seconds(10);
    /** Whether orders with a fencing number below the highest received are rejected. */
    bool fencing = false;
};

/** The result of submitting a request to an engine. */
enum class submit_result
{
    Accepted,
    Overloaded,
    Draining,
    /** The request exceeded coldSlots of a cold engine and crashed it; all requests are lost. */
    Crashed,
    /** A request with this id is in progress; the second execution is logged nevertheless. */
    Duplicate,
};

/** The progress of a request. */
struct engine_progress
{
    execution_phase phase = execution_phase::Broken;
    int tokensReady = 0;

    bool operator==(const engine_progress &) const = default;
};

/** Numbers of running and queued requests of an engine. */
struct engine_load
{
    int running = 0;
    int waiting = 0;

    bool operator==(const engine_load &) const = default;
};

/** Counters since the start of the program; a restart of the engine does not reset them. */
struct engine_counts
{
    std::int64_t executions = 0;
    int peakRunning = 0;
    int coldLimitExceeded = 0;
    int restarts = 0;
    std::int64_t refused = 0;
    std::int64_t cancelled = 0;
    std::int64_t ordersAccepted = 0;
    std::int64_t ordersRejected = 0;
    /** Time spent generating, summed over the slots. */
    absl::Duration busySlotTime;
    /** Time integral of the available slots: all while warm, coldSlots while cold. */
    absl::Duration availableSlotTime;

    bool operator==(const engine_counts &) const = default;
};

/**
 * Simulates the slots, cold start, load reports and orders of an inference engine.
 *
 * Tokens of a running request become ready at a constant rate. The class does no I/O and reads no
 * clock: callers pass the current time.
 */
class engine_model
{
public:
    engine_model(engine_options options, absl::Time now);

    /** Submits a request for a number of tokens; requestId is the id that the router assigned. */
    submit_result submit(const std::string &requestId, const std::string &callerRequestId,
                         int tokens, absl::Time now);
    /** Returns the progress of a request; its phase is Broken if the request is unknown. */
    engine_progress progress(const std::string &requestId, absl::Time now);
    /**
     * True if the answer can be resumed: the request is queued or running, or completed less than
     * detachTimeout ago.
     */
    bool isResumable(const std::string &requestId, absl::Time now);
    /** Returns the number of tokens of a request; 0 if the request is unknown. */
    int requestedTokens(const std::string &requestId) const;
    /** Adds a connection that carries the request's answer. */
    void attach(const std::string &requestId, absl::Time now);
    /** Removes a connection; without any, the request is cancelled after detachTimeout. */
    void detach(const std::string &requestId, absl::Time now);
    /** Cancels a request; returns false if it is unknown or has ended. */
    bool cancel(const std::string &requestId, absl::Time now);
    /** Restarts the engine: all requests are lost, the instance id changes, the engine is cold. */
    void restart(absl::Time now);
    /** Accepts an order; returns false if fencing is enabled and the fencing number is stale. */
    bool order(std::int64_t fencing, absl::Time now);

    /** While draining, the engine rejects new requests. */
    void setDraining(bool draining) { m_draining = draining; }
    void setLoadLag(absl::Duration lag) { m_options.loadLag = lag; }

    /** Returns the load as it was loadLag ago. */
    engine_load reportedLoad(absl::Time now);
    /** True until coldTime has passed and warmAnswers answers are complete since the start. */
    bool isCold(absl::Time now);
    bool isDraining() const { return m_draining; }
    absl::Duration uptime(absl::Time now) const { return now - m_started; }
    /** Returns the instance id, which changes with each restart. */
    std::string instance() const;
    const engine_options &options() const { return m_options; }
    const engine_counts &counts() const { return m_counts; }
    /** Returns the records of all executions since the start of the program. */
    std::vector<execution_record> log() const;

private:
    struct request_state
    {
        /** Index into the execution log. */
        std::size_t record = 0;
        int tokens = 0;
        int connections = 0;
        absl::Time started = absl::InfiniteFuture();
        absl::Time ended = absl::InfiniteFuture();
        absl::Time detached = absl::InfiniteFuture();
    };
    struct load_sample
    {
        absl::Time time {};
        engine_load load;
    };

    /** Advances the state to now: ends completed or detached requests and starts queued ones. */
    void advance(absl::Time now);
    void endRequest(request_state &request, execution_phase phase, absl::Time when);
    /** Ends the request that ends first, if that is no later than now; returns whether one did. */
    bool endNextRequest(absl::Time now);
    void startQueued(absl::Time when);
    /** Time at which all tokens are ready; infinite future while the request is queued. */
    absl::Time completionTime(const request_state &request) const;
    /** Time at which a request without a connection is cancelled. */
    absl::Time detachDeadline(const request_state &request) const;
    engine_load currentLoad() const;
    void sampleLoad(absl::Time when);
    /** Adds up busy and available slot time until when; call before the running requests change. */
    void accumulateSlotTime(absl::Time when);
    execution_phase phaseOf(const request_state &request) const;

    engine_options m_options;
    absl::Time m_started {};
    int m_startCount = 1;
    bool m_startsWarm;
    bool m_draining = false;
    int m_answersSinceStart = 0;
    std::int64_t m_highestFencingNumber = 0;
    engine_counts m_counts;
    std::vector<execution_record> m_log;
    std::map<std::string, request_state> m_requests;
    std::deque<std::string> m_running;
    std::deque<std::string> m_queued;
    absl::Time m_slotTimeUntil;
    std::deque<load_sample> m_samples;
};

} // namespace quetzal::standins
