#pragma once

#include "directory/mirror/mirror_messages.h"
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

/** How the key-value service treats one router, or all. */
enum class store_mode
{
    Serving,
    /** Refuses every call at once. */
    Busy,
    /** Gives no answer. */
    Silent,
};

/** The service no longer has the history that a watch asks for. */
struct history_lost
{
};

/** The answer to a call; nothing when the service refused it or gave none in time. */
using store_answer = std::optional<std::variant<listing_page, change_page, history_lost>>;
using store_callback = std::function<void(const store_answer &)>;

/** The platform's key-value service with its faults. */
class emulated_store
{
public:
    explicit emulated_store(event_queue &events);

    std::int64_t write(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /** The revision of the last change. */
    std::int64_t revision() const { return m_revision; }

    /** Lists the keys below a prefix. */
    void list(const std::string &router, const std::string &prefix, const std::string &afterKey,
              absl::Duration timeout, const store_callback &callback);
    /** Waits for changes below a prefix after a revision. */
    void watch(const std::string &router, const std::string &prefix, std::int64_t after,
               absl::Duration wait, absl::Duration timeout, const store_callback &callback);

    void setMode(store_mode mode) { m_mode = mode; }
    void setModeFor(const std::string &router, store_mode mode) { m_modes[router] = mode; }
    /** True while it serves everybody but single routers. */
    bool isServing() const { return m_mode == store_mode::Serving; }
    /** The time that an answer takes. */
    void setLatency(absl::Duration latency) { m_latency = latency; }
    /** Forgets the history up to now, and cuts the watches that wait. */
    void compactHistory();
    /** The watches that wait now hear of nothing any more until their wait is over. */
    void loseWatchEvents();

private:
    struct pending_watch
    {
        std::string router;
        std::string prefix;
        std::int64_t after = 0;
        absl::Time until;
        store_callback callback;
        bool losesEvents = false;
    };

    store_mode modeFor(const std::string &router) const;
    /** Calls back after the latency, or refuses, or never answers before the timeout. */
    void answer(const std::string &router, absl::Duration timeout, store_answer result,
                const store_callback &callback);
    change_page changesAfter(const std::string &prefix, std::int64_t after) const;
    void completeWatches();

    event_queue &m_events;
    absl::btree_map<std::string, stored_item> m_items;
    std::vector<key_change> m_history;
    std::int64_t m_historyStart = 0;
    std::int64_t m_revision = 1;
    store_mode m_mode = store_mode::Serving;
    absl::flat_hash_map<std::string, store_mode> m_modes;
    absl::Duration m_latency = absl::Milliseconds(4);
    std::vector<pending_watch> m_pendingWatches;
};

} // namespace quetzal::bench
