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

/** What a mirror tells its router, and what it asks of it. */
struct emulated_mirror_callbacks
{
    /** first: the changes come from the first listing. */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    std::function<void(bool isReachable)> onReachabilityChanged;
    /** The copy of another router that is newer than the revision. */
    std::function<std::optional<listing_page>(std::int64_t revision)> copyFromPeer;
    /** Runs an action when the router's process runs. */
    std::function<void(std::function<void()>)> enter;
};

/** Follows one prefix of the emulated key-value service for one router. */
class emulated_mirror
{
public:
    emulated_mirror(event_queue &events, emulated_store &store, std::string router,
                    std::string prefix, emulated_mirror_callbacks callbacks);

    void start();
    void setWatchWaits(const watch_timeouts &waits) { m_watchWaits = waits; }
    /** Another router knows of a change at this revision. */
    void onChangeReportedByPeer(std::int64_t revision);
    const mirror_follower &follower() const { return m_follower; }
    /** The whole copy, if it is newer than the revision. */
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
    /** Answers to calls that were given up are passed over. */
    std::uint64_t m_lastCall = 0;
    bool m_isWatching = false;
    watch_timeouts m_watchWaits = watchTimeouts(1, 0);
    bool m_wasReachable = false;
    bool m_isPeerCallPending = false;
};

} // namespace quetzal::bench
