#pragma once

#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <deque>
#include <functional>

namespace quetzal::bench {

/** The processor time that the events of a router take, and the share of a core that it has. */
struct processor_parameters
{
    /** Fraction of a core, above 0 and at most 1. */
    double share = 1.0;
    /**
     * The period in which the processor runs at the speed of a core until its share of the period
     * is used up, and then stands still; zero to run at a fraction of the speed all the time.
     */
    absl::Duration quotaPeriod;
    absl::Duration acceptedConnection = absl::Microseconds(50);
    /** A connection that is turned away unread. */
    absl::Duration rejectedConnection = absl::Microseconds(30);
    /** A part of a request's body that is read in one turn of the event loop. */
    absl::Duration readPart;
    /** A part of a request's body that is sent to a target. */
    absl::Duration sentPart;
    /** A request that is read, placed and sent to a target. */
    absl::Duration sentRequest = absl::Milliseconds(1);
    /** A request that is read and rejected. */
    absl::Duration rejectedRequest = absl::Microseconds(250);
    /** A part of an answer that is relayed. */
    absl::Duration relayedPart = absl::Microseconds(60);

    bool operator==(const processor_parameters &) const = default;
};

/** Emulates the event loop of a router: runs tasks one after the other, in order. */
class emulated_processor
{
public:
    /** Runs the event and returns the processor time that it takes. */
    using task = std::function<absl::Duration()>;

    /** Creates a processor with the share and quota of the parameters. */
    emulated_processor(event_queue &events, const processor_parameters &parameters);

    /** Runs a task after those before it. */
    void post(task next);

private:
    void runNext();
    /** Runs the next task, or waits for the next period if the quota is used up. */
    void runWithinQuota();
    /** Adds the quota of the periods that have begun since the last call. */
    void renewQuota();

    event_queue &m_events;
    double m_share;
    absl::Duration m_quotaPeriod;
    absl::Time m_periodStartedAt;
    /** What is left of the quota; less than zero if a task used more. */
    absl::Duration m_quotaLeft;
    std::deque<task> m_tasks;
    bool m_isBusy = false;
};

} // namespace quetzal::bench
