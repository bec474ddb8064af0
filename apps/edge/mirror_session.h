#pragma once

#include "apps/edge/event_log.h"
#include "apps/edge/http_client.h"
#include "directory/mirror/mirror_follower.h"
#include "membership/watch/watch_waits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** What mirror_session tells its owner. */
struct mirror_callbacks
{
    /** Keys changed; first: they come from the first listing. */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    /** The store answers again, or no longer. */
    std::function<void(bool isReachable)> onReachabilityChanged;
    /** The next router to ask while the store does not answer; empty when none is known. */
    std::function<std::optional<network_address>()> nextPeer;
};

/** The path below which a router hands its copies of prefixes to the others. */
inline constexpr char mirrorPath[] = "/mirror/";

/**
 * Follows one prefix of the key-value service over its own connection. While the service does not
 * answer this router, the copies of other routers are asked for.
 */
class mirror_session
{
public:
    mirror_session(boost::asio::io_context &loop, event_log &log, const network_address &store,
                   std::string prefix, mirror_callbacks callbacks);

    void start();
    void stop();
    /** How long further watches wait at the store for a change. */
    void setWatchWaits(const watch_waits &waits) { m_watchWaits = waits; }
    /**
     * Another router knows of a change at this revision. A watch that has not told of it soon is
     * given up for a new one on a new connection.
     */
    void onChangeReportedByPeer(std::int64_t revision, absl::Time now);
    const mirror_follower &follower() const { return m_follower; }
    /** The copy for another router that knows everything up to a revision; empty when it is no
     * news. */
    std::string encodedCopyAfter(std::int64_t revision) const;

private:
    void schedulePeerCall();
    void callPeer();
    void onPeerCopy(const network_address &peer, const std::optional<http_result> &result);
    void step();
    void run(const follower_step &step);
    void onResult(const follower_step &step, const std::optional<http_result> &result);
    bool apply(const follower_step &step, const http_result &result);
    void reportChanges(const std::vector<key_change> &changes, bool first);
    void reportReachability();

    boost::asio::steady_timer m_timer;
    event_log &m_log;
    std::shared_ptr<http_client> m_client;
    mirror_follower m_follower;
    mirror_callbacks m_callbacks;
    bool m_wasReachable = false;
    watch_waits m_watchWaits;
    bool m_isWatching = false;
    boost::asio::io_context &m_loop;
    boost::asio::steady_timer m_peerTimer;
    std::shared_ptr<http_client> m_peerClient;
    bool m_isPeerCallPending = false;
};

} // namespace quetzal
