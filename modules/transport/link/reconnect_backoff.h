#pragma once

#include "foundation/random/random_source.h"
#include "protocol/messages/message.h"
#include "transport/link/peer_connection.h"

#include <map>

namespace quetzal {

/**
 * Decides when the next connection to each peer may be attempted.
 *
 * The delay doubles after each failure, up to one second. It is drawn at random from the upper half
 * of its range, so that many processes do not reconnect to a restarted peer at the same moment.
 */
class reconnect_backoff
{
public:
    /** The seed determines the random part of the delays. */
    explicit reconnect_backoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** True if the delay after the last failure has passed, or no attempt has failed. */
    bool canDial(const node_id &peer, link_clock::time_point now) const;
    /** Handles a failed attempt: doubles the delay and restarts it. */
    void onFailure(const node_id &peer, link_clock::time_point now);
    /** Handles an established connection: resets the delay. */
    void onSuccess(const node_id &peer);
    /** Removes the delay of a peer whose address has changed. */
    void remove(const node_id &peer);

private:
    struct retry_delay
    {
        link_clock::duration length;
        link_clock::time_point end;
    };

    random_source m_random;
    std::map<node_id, retry_delay> m_delays;
};

} // namespace quetzal
