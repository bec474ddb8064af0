#pragma once

#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/store_revision.h"
#include "simulation/event_queue.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::bench {

/** How the key-value service responds to the calls of routers. */
enum class store_mode
{
    Serving,
    /** Rejects every call immediately. */
    Busy,
    /** Does not answer; calls time out. */
    Unresponsive,
};

/** The history after the revision that a watch requests was compacted. */
struct history_lost
{
};

/** Answer to a call; nullopt if the service rejected the call or timed out. */
using store_answer = std::optional<std::variant<listing_page, change_page, history_lost>>;
using store_callback = std::function<void(const store_answer &)>;

/** Emulates the platform's key-value service and its faults. */
class emulated_store
{
public:
    explicit emulated_store(event_queue &events);

    /** Writes a key; returns the revision of the change. */
    std::int64_t write(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** Returns the revision of the last change; see store_revision.h. */
    std::int64_t revision() const { return revisionInEra(m_era, m_revision); }
    /** Takes the copy that restore() returns to. */
    void takeCopy();
    /**
     * Returns to the last copy in a new era: revisions are given out again, the history is lost,
     * and pending watches fail.
     */
    void restore();
    /** Returns all keys in their order. */
    std::vector<stored_item> items() const;

    /** Lists a page of the keys below a prefix, after a key. */
    void list(const std::string &router, const std::string &prefix, const std::string &afterKey,
              absl::Duration timeout, const store_callback &callback);
    /** Watches for changes below a prefix after a revision, for a time of at most wait. */
    void watch(const std::string &router, const std::string &prefix, std::int64_t after,
               absl::Duration wait, absl::Duration timeout, const store_callback &callback);

    void setMode(store_mode mode) { m_mode = mode; }
    void setModeFor(const std::string &router, store_mode mode) { m_modes[router] = mode; }
    /** True while it serves routers without a mode of their own. */
    bool isServing() const { return m_mode == store_mode::Serving; }
    /** Sets how many calls of all routers are served in a second; more are rejected. */
    void setCallLimit(int callsPerSecond) { m_callLimit = callsPerSecond; }
    /** Returns the number of calls so far, rejected ones included. */
    std::int64_t callCount() const { return m_callCount; }
    /** Sets the latency of answers. */
    void setLatency(absl::Duration latency) { m_latency = latency; }
    /** Discards the history and ends pending watches with history_lost. */
    void compactHistory();
    /** Makes pending watches miss all changes until their wait has elapsed. */
    void loseWatchEvents();
    /**
     * Makes pending watches, and those that begin until compactHistory(), silent: once there is a
     * change for them, they are never answered.
     */
    void deafenWatches();

private:
    struct pending_watch
    {
        std::string router;
        std::string prefix;
        std::int64_t after = 0;
        absl::Time until;
        store_callback callback;
        bool losesEvents = false;
        /** When the caller gives up. */
        absl::Time timeoutAt;
        bool isDeaf = false;
    };

    store_mode modeFor(const std::string &router) const;
    /** Calls back with the result after the latency, or with nullopt if busy or timed out. */
    void answer(const std::string &router, absl::Duration timeout, store_answer result,
                const store_callback &callback);
    /** Returns an item with its revision in the current era. */
    stored_item itemInEra(const stored_item &item) const;
    change_page changesAfter(const std::string &prefix, std::int64_t after) const;
    void completeWatches();
    /** Counts a call; true if it is beyond the limit. */
    bool countCall();

    event_queue &m_events;
    absl::btree_map<std::string, stored_item> m_items;
    std::vector<key_change> m_history;
    std::int64_t m_historyStart = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_era = 0;
    /** Keys and revision of the last copy. */
    absl::btree_map<std::string, stored_item> m_copiedItems;
    std::int64_t m_copiedRevision = 1;
    store_mode m_mode = store_mode::Serving;
    absl::flat_hash_map<std::string, store_mode> m_modes;
    absl::Duration m_latency = absl::Milliseconds(4);
    std::vector<pending_watch> m_pendingWatches;
    bool m_areWatchesDeaf = false;
    std::optional<int> m_callLimit;
    std::int64_t m_callCount = 0;
    /** The calls within the current second. */
    int m_recentCalls = 0;
    std::int64_t m_recentSecond = 0;
};

} // namespace quetzal::bench
