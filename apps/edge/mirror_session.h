#pragma once

#include "apps/edge/event_log.h"
#include "apps/edge/http_client.h"
#include "directory/mirror/mirror_follower.h"
#include "membership/watch/watch_timeouts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Callbacks of mirror_session. */
struct mirror_callbacks
{
    /** Keys changed. @param first true for the first complete copy of the prefix */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    /** The store became reachable or unreachable. */
    std::function<void(bool isReachable)> onReachabilityChanged;
    /** Returns the next router to request a copy from; nullopt if none is known. */
    std::function<std::optional<network_address>()> nextPeer;
};

/** Path prefix under which a router serves its copies to other routers. */
inline constexpr char mirrorPath[] = "/mirror/";

/**
 * Mirrors one prefix of the key-value service over a connection of its own. While this router can't
 * reach the service, it requests the copies of other routers.
 */
class mirror_session
{
public:
    mirror_session(boost::asio::io_context &loop, event_log &log, const network_address &store,
                   std::string prefix, mirror_callbacks callbacks);

    void start();
    void stop();
    /** Sets how long further watches wait at the store for a change. */
    void setWatchTimeouts(const watch_timeouts &timeouts) { m_watchTimeouts = timeouts; }
    /**
     * Must be called when another router reports a change at a revision. If the current watch does
     * not deliver it soon, it is replaced by a new watch on a new connection.
     */
    void onChangeReportedByPeer(std::int64_t revision, absl::Time now);
    const mirror_follower &follower() const { return m_follower; }
    /**
     * Returns the encoded copy for another router whose copy is at a revision; empty if this copy
     * is incomplete or not newer.
     */
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
    /** Logs rows of the store's answer that have no key. */
    void reportUnreadable(std::size_t rows);

    boost::asio::steady_timer m_timer;
    event_log &m_log;
    std::shared_ptr<http_client> m_client;
    mirror_follower m_follower;
    mirror_callbacks m_callbacks;
    bool m_wasReachable = false;
    watch_timeouts m_watchTimeouts;
    bool m_isWatching = false;
    boost::asio::io_context &m_loop;
    boost::asio::steady_timer m_peerTimer;
    std::shared_ptr<http_client> m_peerClient;
    bool m_isPeerCallPending = false;
};

} // namespace quetzal
