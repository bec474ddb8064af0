#pragma once

#include "standins/common/execution_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzal::standins {

/** Options of engine_model. */
struct engine_options
{
    std::string id {};
    std::string service {};
    /** Requests generated concurrently when warm. */
    int slots = 8;
    /** Concurrent requests, waiting ones included, that a cold engine bears. */
    int coldSlots = 1;
    /** The engine is warm after this time and warmAnswers whole answers. */
    absl::Duration coldTime = absl::Seconds(10);
    int warmAnswers = 3;
    /** True when the engine starts warm. */
    bool startsWarm = false;
    /** Admitted requests beyond the slots; further ones are refused as overloaded. */
    int maxWaiting = 64;
    double tokensPerSecond = 50.0;
    absl::Duration timeToFirstToken = absl::Milliseconds(100);
    absl::Duration loadLag = absl::Milliseconds(500);
    /** How long a request goes on without a connection. */
    absl::Duration detachTimeout = absl::Seconds(10);
    /** Whether orders with a lower fencing number than the highest seen are refused. */
    bool fencing = false;
};

/** Whether an engine takes a request. */
enum class submit_result
{
    Accepted,
    Overloaded,
    Draining,
    /** A cold engine was given more than it bears and fell over; the request is lost too. */
    Crashed,
    /** A request with this id is still in progress; the second execution is logged all the same. */
    Duplicate,
};

/** How far a request has come. */
struct engine_progress
{
    execution_phase phase = execution_phase::Broken;
    int tokensReady = 0;

    bool operator==(const engine_progress &) const = default;
};

/** What an engine reports about its load. */
struct engine_load
{
    int running = 0;
    int waiting = 0;

    bool operator==(const engine_load &) const = default;
};

/** Counts since the start of the program, kept over restarts of the engine. */
struct engine_counts
{
    std::int64_t executions = 0;
    int peakRunning = 0;
    int coldLimitExceeded = 0;
    int restarts = 0;
    std::int64_t refused = 0;
    std::int64_t cancelled = 0;
    std::int64_t ordersTaken = 0;
    std::int64_t ordersRefused = 0;
    /** Sum over the slots of the time in which each was generating. */
    absl::Duration busySlotTime;
    /** Sum over the time of the slots that the engine bore: all when warm, coldSlots when cold. */
    absl::Duration availableSlotTime;

    bool operator==(const engine_counts &) const = default;
};

/**
 * A model engine's slots, cold start, load report and orders as a function of time.
 *
 * Tokens of a running request become ready at a constant rate. It has no I/O and no clock.
 */
class engine_model
{
public:
    engine_model(engine_options options, absl::Time now);

    /** A request for a number of tokens arrives; the id is the router's. */
    submit_result submit(const std::string &requestId, const std::string &callerRequestId,
                         int tokens, absl::Time now);
    /** How far a request has come; Broken when it is unknown. */
    engine_progress progress(const std::string &requestId, absl::Time now);
    /** True while the request can be resumed: it runs, or ended less than detachTimeout ago. */
    bool isResumable(const std::string &requestId, absl::Time now);
    /** Number of tokens asked for; 0 when the request is unknown. */
    int requestedTokens(const std::string &requestId) const;
    /** A connection begins or ends to carry the request's answer. */
    void attach(const std::string &requestId, absl::Time now);
    void detach(const std::string &requestId, absl::Time now);
    /** Cancels a request; false when it is unknown or has ended. */
    bool cancel(const std::string &requestId, absl::Time now);
    /** Restarts: every request is lost, the instance id changes, and the engine is cold. */
    void restart(absl::Time now);
    /** Takes an order, or refuses one with an old fencing number when that is checked. */
    bool order(std::int64_t fencing, absl::Time now);

    void setDraining(bool draining) { m_draining = draining; }
    void setLoadLag(absl::Duration lag) { m_options.loadLag = lag; }

    /** The load as it was loadLag ago. */
    engine_load reportedLoad(absl::Time now);
    bool isCold(absl::Time now);
    bool isDraining() const { return m_draining; }
    absl::Duration uptime(absl::Time now) const { return now - m_started; }
    /** Identifier of this start of the engine. */
    std::string instance() const;
    const engine_options &options() const { return m_options; }
    const engine_counts &counts() const { return m_counts; }
    /** Every execution since the start of the program. */
    std::vector<execution_record> log() const;

private:
    struct request_state
    {
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

    /** Brings the state forward to now: ends what is generated, starts what waits. */
    void advance(absl::Time now);
    void endRequest(request_state &request, execution_phase phase, absl::Time when);
    bool endNextRequest(absl::Time now);
    void startWaiting(absl::Time when);
    absl::Time completionTime(const request_state &request) const;
    absl::Time detachDeadline(const request_state &request) const;
    engine_load currentLoad() const;
    void sampleLoad(absl::Time when);
    /** Counts busy and bearable slots until when; call before the running requests change. */
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
    std::deque<std::string> m_waiting;
    absl::Time m_slotTimeUntil;
    std::deque<load_sample> m_samples;
};

} // namespace quetzal::standins
