#pragma once

#include "apps/edge/event_log.h"
#include "apps/edge/http_client.h"
#include "replication/follower/mirror_follower.h"

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
    /** The replica became current, or stopped being so. */
    std::function<void(bool isCurrent)> onCurrentChanged;
    /** True if another router is known. */
    std::function<bool()> hasPeers;
    /** Returns the router at a host, or the next one if the host is empty. */
    std::function<std::optional<network_address>(const std::string &host)> peerAt;
    /** Sends an update to the other routers. */
    std::function<void(const mirror_update &)> sendUpdate;
};

/** Path prefix under which a router serves its copies to other routers. */
inline constexpr char mirrorPath[] = "/mirror/";

/**
 * Mirrors one prefix of the key-value service, from calls to it over a connection of its own, and
 * from other routers' copies and updates, as a mirror_follower decides.
 */
class mirror_session
{
public:
    mirror_session(boost::asio::io_context &loop, event_log &log, const network_address &store,
                   follower_options options, mirror_callbacks callbacks);

    void start();
    void stop();
    /** Sets the routers of the fleet. */
    void setRouters(const std::vector<std::string> &members) { m_follower.setRouters(members); }
    /** Determines the next step again; must be called periodically, and when a peer is found. */
    void update(absl::Time now);
    /** Must be called when another router lists a change at a revision in its digest. */
    void onPeerRevision(std::int64_t revision, absl::Time now);
    /** Must be called when an update was received from another router. */
    void onUpdate(const mirror_update &update, const std::string &host, absl::Time now);
    const mirror_follower &follower() const { return m_follower; }
    /**
     * Returns the encoded copy for another router whose copy is at a revision; empty if this copy
     * is incomplete or not newer.
     */
    std::string encodedCopyAfter(std::int64_t revision) const;

private:
    enum class call_state
    {
        None,
        List,
        Watch,
        Copy,
    };

    /** Ends the pending call to the store without a result. */
    void abortCall();
    void step();
    void run(const follower_step &step);
    void callStore(const follower_step &step);
    void callPeer(const follower_step &step);
    void onStoreResult(const follower_step &step, const std::optional<http_result> &result);
    void onPeerResult(const network_address &peer, const std::optional<http_result> &result);
    bool apply(const follower_step &step, const http_result &result);
    void reportChanges(const std::vector<key_change> &changes, bool first);
    void reportCurrent(absl::Time now);
    /** Logs what the store answered, and how long that took. */
    void reportAnswer(const follower_step &step, std::int64_t revision, std::size_t rows);
    /** Logs what an update with content, or one that does not fit the replica, was taken for. */
    void reportUpdate(const mirror_update &update, std::int64_t before);
    /** Logs rows of the store's answer that have no key. */
    void reportUnreadable(std::size_t rows);
    /** Sends the update that the last answer of the store brought, if there is one. */
    void sendUpdate();

    boost::asio::io_context &m_loop;
    boost::asio::steady_timer m_timer;
    event_log &m_log;
    std::shared_ptr<http_client> m_client;
    std::shared_ptr<http_client> m_peerClient;
    mirror_follower m_follower;
    mirror_callbacks m_callbacks;
    bool m_wasCurrent = false;
    call_state m_call = call_state::None;
    /** When the pending call to the store began. */
    absl::Time m_calledAt;
};

} // namespace quetzal
