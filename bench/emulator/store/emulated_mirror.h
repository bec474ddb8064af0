#pragma once

#include "emulator/store/emulated_store.h"
#include "replication/follower/mirror_follower.h"
#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** What became of a request for another router's copy. */
struct copy_answer
{
    /** False if the other router did not answer. */
    bool isAnswered = false;
    /** Its copy, if it has a newer one. */
    std::optional<mirror_copy> copy;
    /** How long the copy is on its way. */
    absl::Duration transferTime;
};

/** Callbacks of emulated_mirror. */
struct emulated_mirror_callbacks
{
    /** Called when keys have changed. @param first true for the first complete copy of the prefix
     */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    /** Called when the replica becomes current, or stops being so. */
    std::function<void(bool isCurrent)> onCurrentChanged;
    /** True if another router is known. */
    std::function<bool()> hasPeers;
    /** Requests a copy newer than the revision of the router at a host; empty for the next one. */
    std::function<copy_answer(const std::string &host, std::int64_t revision)> copyFromPeer;
    /** Sends an update to the other routers. */
    std::function<void(const mirror_update &)> sendUpdate;
    /** Runs an action now, or when the router's process is unfrozen. */
    std::function<void(std::function<void()>)> runWhenActive;
};

/**
 * Mirrors one prefix of the emulated key-value service for one router, as mirror_session does for
 * quetzal-edge.
 */
class emulated_mirror
{
public:
    emulated_mirror(event_queue &events, emulated_store &store, follower_options options,
                    emulated_mirror_callbacks callbacks);

    void start();
    /** Sets the routers of the fleet. */
    void setRouters(const std::vector<std::string> &members) { m_follower.setRouters(members); }
    /** Must be called when another router lists a change at a revision in its digest. */
    void onPeerRevision(std::int64_t revision);
    /** Must be called when an update was received from another router. */
    void onUpdate(const mirror_update &update, const std::string &host);
    const mirror_follower &follower() const { return m_follower; }
    /** Returns the complete copy if it is newer than the revision; else nullopt. */
    std::optional<mirror_copy> copyAfter(std::int64_t revision) const;

private:
    /** Determines the next step again at each interval. */
    void update();
    void step();
    void run(const follower_step &step);
    void callStore(const follower_step &step);
    void callPeer(const follower_step &step);
    void onResult(std::uint64_t call, const follower_step &step, const store_answer &answer);
    void onPeerResult(std::uint64_t call, const std::optional<mirror_copy> &copy);
    void reportChanges(const std::vector<key_change> &changes, bool first);
    void reportCurrent();

    event_queue &m_events;
    emulated_store &m_store;
    std::string m_router;
    mirror_follower m_follower;
    emulated_mirror_callbacks m_callbacks;
    /** Number of the current call; answers to earlier calls are ignored. */
    std::uint64_t m_lastCall = 0;
    /** Number of the current wait; earlier ones are ignored. */
    std::uint64_t m_lastWait = 0;
    bool m_isCalling = false;
    bool m_isWatching = false;
    bool m_isCopying = false;
    /** When the pending call to the store began. */
    absl::Time m_calledAt;
    bool m_wasCurrent = false;
};

} // namespace quetzal::bench
