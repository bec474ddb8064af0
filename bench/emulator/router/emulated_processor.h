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
    absl::Duration acceptedConnection = absl::Microseconds(50);
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

    /** Creates a processor with a fraction of a core. */
    emulated_processor(event_queue &events, double share);

    /** Runs a task after those before it. */
    void post(task next);

private:
    void runNext();

    event_queue &m_events;
    double m_share;
    std::deque<task> m_tasks;
    bool m_isBusy = false;
};

} // namespace quetzal::bench
