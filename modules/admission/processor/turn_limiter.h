#pragma once

namespace quetzal {

/** Settings of turn_limiter. */
struct turn_limits
{
    /** The requests that each turn of the event loop takes while there are more. */
    int maxPerTurn = 1;
    /** The requests taken at once after turns that had fewer. */
    int maxBurst = 1;

    bool operator==(const turn_limits &) const = default;
};

/**
 * Returns the limits for a processor: the more it has, the more requests it reads and sends in the
 * time for which the other events of the loop may wait. @param processorShare the cores that the
 * process has, above 0
 */
turn_limits turnLimitsOf(double processorShare);

/**
 * Limits the new requests that one turn of an event loop takes.
 *
 * A turn takes the longer, the more work the router has. With a fixed number of new requests for
 * each, a router with more callers than its processor can serve goes on serving as many as it can,
 * from the first turn on; the others are to be turned away at little cost, before they are read.
 */
class turn_limiter
{
public:
    explicit turn_limiter(turn_limits limits);

    /** Takes one request; false if this turn has taken what it may. */
    bool tryTake();
    /** Must be called at the end of each turn in which tryTake() was called. */
    void onTurnEnded();

private:
    turn_limits m_limits;
    int m_available;
};

} // namespace quetzal
