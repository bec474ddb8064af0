#pragma once

#include <absl/time/time.h>

namespace quetzal {

/**
 * The times of a graceful shutdown: until when a router accepts new requests, by when all answers
 * must be complete, and when its process ends.
 */
class shutdown_schedule
{
public:
    /** Starts a shutdown; the process is killed when the grace period is over. */
    shutdown_schedule(absl::Time startedAt, absl::Duration grace);

    /**
     * Applies a grace period that was configured after the start of the shutdown, if it is shorter:
     * a longer one may not apply to a shutdown in progress.
     */
    void shorten(absl::Duration grace);

    /**
     * True while new requests are accepted, because the load balancer may not have noticed the
     * shutdown yet and sends new connections.
     */
    bool isAccepting(absl::Time now) const { return now < acceptsUntil(); }
    /** Returns when the router begins to reject new requests. */
    absl::Time acceptsUntil() const;
    /** Returns when answers that are not complete are ended, in time for callers to receive that.
     */
    absl::Time answersDueAt() const;
    /** Returns when the process ends, before it would be killed. */
    absl::Time endsAt() const;

private:
    /** Returns the time that each of the last two steps takes. */
    absl::Duration stepTime() const;

    absl::Time m_startedAt;
    absl::Duration m_grace;
};

} // namespace quetzal
