#pragma once

#include "foundation/random/random_source.h"
#include "protocol/messages/message.h"
#include "transport/link/peer_connection.h"

#include <map>

namespace quetzal {

/**
 * When the next connection to each peer may be tried.
 *
 * After each failure the pause doubles up to a second; it is drawn from the upper half of its
 * range, so that many processes do not return to a restarted peer at the same moment.
 */
class reconnect_backoff
{
public:
    explicit reconnect_backoff(std::uint64_t seed)
        : m_random(seed)
    {
    }

    bool canDial(const node_id &peer, link_clock::time_point now) const;
    void onFailure(const node_id &peer, link_clock::time_point now);
    void onSuccess(const node_id &peer);
    /** Forgets a peer whose address has changed. */
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
