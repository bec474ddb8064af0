#include "emulator/store/emulated_mirror.h"

#include <utility>

namespace quetzal::bench {

namespace {

/** Time for the store to answer after the wait of a watch has elapsed. */
constexpr absl::Duration callTimeout = absl::Milliseconds(800);
constexpr absl::Duration listTimeout = absl::Milliseconds(1500);
/** Pause between calls to other routers while the store is unreachable. */
constexpr absl::Duration peerPause = absl::Milliseconds(400);

} // namespace

emulated_mirror::emulated_mirror(event_queue &events, emulated_store &store, std::string router,
                                 std::string prefix, emulated_mirror_callbacks callbacks)
    : m_events(events)
    , m_store(store)
    , m_router(std::move(router))
    , m_follower(std::move(prefix))
    , m_callbacks(std::move(callbacks))
{
}

void emulated_mirror::start()
{
    step();
}

std::optional<listing_page> emulated_mirror::copyAfter(std::int64_t revision) const
{
    const prefix_mirror &mirror = m_follower.mirror();
    if (!mirror.isComplete() || mirror.revision() <= revision)
        return std::nullopt;
    return listing_page {.items = mirror.items(), .revision = mirror.revision()};
}

void emulated_mirror::step()
{
    const absl::Duration delay = m_follower.next().delay;
    m_events.after(delay,
                   [this] { m_callbacks.runWhenActive([this] { run(m_follower.next()); }); });
}

void emulated_mirror::run(const follower_step &step)
{
    const std::string &prefix = m_follower.mirror().prefix();
    const std::uint64_t call = ++m_lastCall;
    const auto callback = [this, call](const store_answer &answer) {
        m_callbacks.runWhenActive([this, call, answer] { onResult(call, answer); });
    };
    m_isWatching = step.kind == follower_step::action::Watch;
    const absl::Duration wait = step.isFirstWatch ? m_watchTimeouts.first : m_watchTimeouts.regular;
    if (m_isWatching)
        m_store.watch(m_router, prefix, step.revision, wait, wait + callTimeout, callback);
    else
        m_store.list(m_router, prefix, step.afterKey, listTimeout, callback);
}

void emulated_mirror::onChangeReportedByPeer(std::int64_t revision)
{
    if (!m_isWatching || !m_follower.isWatchBehind(revision, m_events.now()))
        return;
    m_isWatching = false;
    ++m_lastCall;
    step();
}

void emulated_mirror::onResult(std::uint64_t call, const store_answer &answer)
{
    if (call != m_lastCall)
        return;
    m_isWatching = false;
    const absl::Time now = m_events.now();
    const bool first = !m_follower.mirror().isComplete();
    std::vector<key_change> appliedChanges;
    if (!answer) {
        m_follower.onFailure(now);
        if (!std::exchange(m_isPeerCallPending, true))
            m_events.after(peerPause,
                           [this] { m_callbacks.runWhenActive([this] { callPeer(); }); });
    } else if (const auto *listing = std::get_if<listing_page>(&*answer)) {
        appliedChanges = m_follower.onListing(*listing, now);
    } else if (const auto *changes = std::get_if<change_page>(&*answer)) {
        appliedChanges = m_follower.onChanges(*changes, now);
    } else {
        m_follower.onHistoryLost();
    }
    reportReachability();
    reportChanges(appliedChanges, first);
    step();
}

void emulated_mirror::callPeer()
{
    m_isPeerCallPending = false;
    if (m_follower.isReachable())
        return;
    const prefix_mirror &mirror = m_follower.mirror();
    const bool first = !mirror.isComplete();
    if (const auto copy = m_callbacks.copyFromPeer(first ? 0 : mirror.revision()))
        reportChanges(m_follower.onPeerListing(copy->items, copy->revision), first);
    m_isPeerCallPending = true;
    m_events.after(peerPause, [this] { m_callbacks.runWhenActive([this] { callPeer(); }); });
}

void emulated_mirror::reportChanges(const std::vector<key_change> &changes, bool first)
{
    if (!changes.empty())
        m_callbacks.onChanges(changes, first);
}

void emulated_mirror::reportReachability()
{
    const bool isReachable = m_follower.isReachable();
    if (isReachable != std::exchange(m_wasReachable, isReachable))
        m_callbacks.onReachabilityChanged(isReachable);
}

} // namespace quetzal::bench
