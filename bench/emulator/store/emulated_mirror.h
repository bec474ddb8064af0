#pragma once

#include "directory/mirror/mirror_follower.h"
#include "emulator/store/emulated_store.h"
#include "membership/watch/watch_timeouts.h"
#include "simulation/event_queue.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Callbacks of emulated_mirror. */
struct emulated_mirror_callbacks
{
    /** Called when keys have changed. @param first true for the first complete copy of the prefix
     */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    /** Called when the store becomes reachable or unreachable. */
    std::function<void(bool isReachable)> onReachabilityChanged;
    /** Returns another router's copy of the prefix if it is newer than the revision; else nullopt.
     */
    std::function<std::optional<listing_page>(std::int64_t revision)> copyFromPeer;
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
    emulated_mirror(event_queue &events, emulated_store &store, std::string router,
                    std::string prefix, emulated_mirror_callbacks callbacks);

    void start();
    /** Sets how long further watches wait at the store for a change. */
    void setWatchTimeouts(const watch_timeouts &timeouts) { m_watchTimeouts = timeouts; }
    /**
     * Must be called when another router reports a change at a revision. If the current watch does
     * not deliver it soon, it is replaced by a new watch.
     */
    void onChangeReportedByPeer(std::int64_t revision);
    const mirror_follower &follower() const { return m_follower; }
    /** Returns the complete copy if it is newer than the revision; else nullopt. */
    std::optional<listing_page> copyAfter(std::int64_t revision) const;

private:
    void step();
    void run(const follower_step &step);
    void onResult(std::uint64_t call, const store_answer &answer);
    void callPeer();
    void reportChanges(const std::vector<key_change> &changes, bool first);
    void reportReachability();

    event_queue &m_events;
    emulated_store &m_store;
    std::string m_router;
    mirror_follower m_follower;
    emulated_mirror_callbacks m_callbacks;
    /** Number of the current call; answers to earlier calls are ignored. */
    std::uint64_t m_lastCall = 0;
    bool m_isWatching = false;
    watch_timeouts m_watchTimeouts = watchTimeouts(1, 0);
    bool m_wasReachable = false;
    bool m_isPeerCallPending = false;
};

} // namespace quetzal::bench
