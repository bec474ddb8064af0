#pragma once

#include <absl/time/time.h>

namespace quetzal {

/** Settings of overload_detector. */
struct overload_limits
{
    /** The delay of the event loop up to which no request is rejected. */
    absl::Duration minDelay = absl::Milliseconds(40);
    /** The delay from which on every request is rejected. */
    absl::Duration maxDelay = absl::Milliseconds(120);

    bool operator==(const overload_limits &) const = default;
};

/**
 * Decides from the delay of the event loop which fraction of the new requests a router has no
 * processor time for.
 *
 * Callers leave a router that does not read their requests in time. One that goes on in order of
 * arrival with more work than its processor can do serves callers that have left.
 */
class overload_detector
{
public:
    /**
     * The connections, and the datagrams, that one turn of the event loop takes at most. They must
     * not wait for the other events of a busy router, or what it takes is stale.
     */
    static constexpr int maxArrivalsPerTurn = 256;

    explicit overload_detector(overload_limits limits = {});

    /**
     * Adds the delay with which the event loop ran an event. @param nextDueAt when the next event
     * whose delay is measured is due; it is late if it has not run by then
     */
    void onLoopDelay(absl::Duration delay, absl::Time nextDueAt);
    /** Returns the fraction of the new requests to reject at once, from 0 to 1. */
    double rejectedFraction(absl::Time now) const;

private:
    overload_limits m_limits;
    absl::Duration m_lastDelay;
    absl::Time m_nextDueAt = absl::InfiniteFuture();
};

} // namespace quetzal
