#include "emulator/store/emulated_store.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

/** Maximum number of items in one page of a listing. */
constexpr std::size_t pageSize = 50;
/** Interval at which pending watches are checked for changes. */
constexpr absl::Duration watchPollInterval = absl::Milliseconds(20);

} // namespace

emulated_store::emulated_store(event_queue &events)
    : m_events(events)
{
    m_events.every(watchPollInterval, [this] { completeWatches(); });
}

std::int64_t emulated_store::write(const std::string &key, const std::string &value)
{
    ++m_revision;
    m_items[key] = {.key = key, .value = value, .revision = m_revision};
    m_history.push_back({.key = key, .value = value, .revision = m_revision});
    return revision();
}

void emulated_store::remove(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_history.push_back({.key = key, .value = std::nullopt, .revision = m_revision});
}

std::vector<stored_item> emulated_store::items() const
{
    std::vector<stored_item> all;
    for (const auto &[key, item] : m_items)
        all.push_back(itemInEra(item));
    return all;
}

store_mode emulated_store::modeFor(const std::string &router) const
{
    const auto found = m_modes.find(router);
    const bool hasOwnMode = found != m_modes.end() && found->second != store_mode::Serving;
    return hasOwnMode ? found->second : m_mode;
}

void emulated_store::answer(const std::string &router, absl::Duration timeout, store_answer result,
                            const store_callback &callback)
{
    const store_mode mode = modeFor(router);
    if (mode == store_mode::Unresponsive || m_latency > timeout) {
        m_events.after(timeout, [callback] { callback(std::nullopt); });
        return;
    }
    if (mode == store_mode::Busy)
        result = std::nullopt;
    m_events.after(m_latency, [callback, result = std::move(result)] { callback(result); });
}

bool emulated_store::countCall()
{
    ++m_callCount;
    const std::int64_t second = absl::ToUnixSeconds(m_events.now());
    if (second != std::exchange(m_recentSecond, second))
        m_recentCalls = 0;
    ++m_recentCalls;
    return m_callLimit && m_recentCalls > *m_callLimit;
}

void emulated_store::list(const std::string &router, const std::string &prefix,
                          const std::string &afterKey, absl::Duration timeout,
                          const store_callback &callback)
{
    if (countCall()) {
        m_events.after(m_latency, [callback] { callback(std::nullopt); });
        return;
    }
    listing_page page {.revision = revision()};
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= afterKey)
            continue;
        if (page.items.size() == pageSize) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(itemInEra(item));
    }
    answer(router, timeout, std::move(page), callback);
}

stored_item emulated_store::itemInEra(const stored_item &item) const
{
    return {.key = item.key, .value = item.value, .revision = revisionInEra(m_era, item.revision)};
}

change_page emulated_store::changesAfter(const std::string &prefix, std::int64_t after) const
{
    change_page page {.revision = revision()};
    for (const key_change &change : m_history) {
        if (change.revision <= after || !change.key.starts_with(prefix))
            continue;
        page.changes.push_back(change);
        page.changes.back().revision = revisionInEra(m_era, change.revision);
    }
    return page;
}

void emulated_store::watch(const std::string &router, const std::string &prefix, std::int64_t after,
                           absl::Duration wait, absl::Duration timeout,
                           const store_callback &callback)
{
    const bool isBeyondLimit = countCall();
    if (isBeyondLimit || modeFor(router) != store_mode::Serving) {
        answer(router, timeout, std::nullopt, callback);
        return;
    }
    const std::int64_t from = serviceRevision(after);
    if (from < m_historyStart || from > m_revision) {
        answer(router, timeout, history_lost {}, callback);
        return;
    }
    m_pendingWatches.push_back({.router = router,
                                .prefix = prefix,
                                .after = from,
                                .until = m_events.now() + wait,
                                .callback = callback,
                                .timeoutAt = m_events.now() + timeout,
                                .isDeaf = m_areWatchesDeaf});
}

void emulated_store::completeWatches()
{
    std::vector<pending_watch> pending;
    for (pending_watch &watch : std::exchange(m_pendingWatches, {})) {
        const change_page page = changesAfter(watch.prefix, watch.after);
        if (watch.isDeaf && (watch.after < m_historyStart || !page.changes.empty())) {
            if (m_events.now() >= watch.timeoutAt)
                watch.callback(std::nullopt);
            else
                pending.push_back(std::move(watch));
            continue;
        }
        const bool isUnresponsive = modeFor(watch.router) == store_mode::Unresponsive;
        const bool isExpired = m_events.now() >= watch.until;
        const bool hasChanges = !isUnresponsive && !watch.losesEvents && !page.changes.empty();
        if (isExpired && watch.after < m_historyStart)
            answer(watch.router, absl::Seconds(1), history_lost {}, watch.callback);
        else if (isExpired || hasChanges)
            answer(watch.router, absl::Seconds(1), page, watch.callback);
        else
            pending.push_back(std::move(watch));
    }
    m_pendingWatches.insert(m_pendingWatches.end(), pending.begin(), pending.end());
}

void emulated_store::compactHistory()
{
    m_history.clear();
    m_historyStart = m_revision;
    m_areWatchesDeaf = false;
    std::vector<pending_watch> affected;
    for (pending_watch &watch : std::exchange(m_pendingWatches, {})) {
        if (watch.losesEvents || watch.isDeaf)
            affected.push_back(std::move(watch));
        else
            answer(watch.router, absl::Seconds(1), history_lost {}, watch.callback);
    }
    m_pendingWatches = std::move(affected);
}

void emulated_store::takeCopy()
{
    m_copiedItems = m_items;
    m_copiedRevision = m_revision;
}

void emulated_store::restore()
{
    ++m_era;
    m_items = m_copiedItems;
    m_revision = m_copiedRevision;
    m_history.clear();
    m_historyStart = m_revision;
    m_areWatchesDeaf = false;
    for (const pending_watch &watch : std::exchange(m_pendingWatches, {}))
        answer(watch.router, absl::Seconds(1), std::nullopt, watch.callback);
}

void emulated_store::deafenWatches()
{
    m_areWatchesDeaf = true;
    for (pending_watch &watch : m_pendingWatches)
        watch.isDeaf = true;
}

void emulated_store::loseWatchEvents()
{
    for (pending_watch &watch : m_pendingWatches)
        watch.losesEvents = true;
}

} // namespace quetzal::bench
