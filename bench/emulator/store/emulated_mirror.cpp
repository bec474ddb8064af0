#include "emulator/store/emulated_mirror.h"

#include <utility>

namespace quetzal::bench {

namespace {

/** Time for the store to answer after the wait of a watch has elapsed. */
constexpr absl::Duration callTimeout = absl::Milliseconds(800);
constexpr absl::Duration listTimeout = absl::Milliseconds(1500);
/** Time for another router to answer, and after which it is given up. */
constexpr absl::Duration peerLatency = absl::Milliseconds(2);
constexpr absl::Duration peerTimeout = absl::Milliseconds(400);
/** Interval at which the next step is determined again. */
constexpr absl::Duration updateInterval = absl::Milliseconds(200);

} // namespace

emulated_mirror::emulated_mirror(event_queue &events, emulated_store &store,
                                 follower_options options, emulated_mirror_callbacks callbacks)
    : m_events(events)
    , m_store(store)
    , m_router(options.self)
    , m_follower(std::move(options))
    , m_callbacks(std::move(callbacks))
{
}

void emulated_mirror::start()
{
    m_callbacks.runWhenActive([this] { update(); });
}

std::optional<mirror_copy> emulated_mirror::copyAfter(std::int64_t revision) const
{
    return m_follower.copyAfter(revision, m_events.now());
}

void emulated_mirror::update()
{
    reportCurrent();
    const bool first = !m_follower.mirror().isComplete();
    reportChanges(m_follower.applyOldCopy(m_events.now()), first);
    if (m_isWatching && m_follower.isWatchBehind(m_calledAt, m_events.now())) {
        m_isWatching = false;
        m_isCalling = false;
        ++m_lastCall;
    }
    const bool isListing = m_isCalling && !m_isWatching && !m_isCopying;
    if (isListing
        && m_follower.isFirstListingSlow(m_calledAt, m_events.now(), m_callbacks.hasPeers())) {
        m_isCalling = false;
        ++m_lastCall;
        m_follower.onFailure(m_events.now());
    }
    if (!m_isCalling)
        step();
    m_events.after(updateInterval, [this] { m_callbacks.runWhenActive([this] { update(); }); });
}

void emulated_mirror::step()
{
    const follower_step next = m_follower.next(m_events.now(), m_callbacks.hasPeers());
    const std::uint64_t wait = ++m_lastWait;
    if (next.delay <= absl::ZeroDuration()) {
        run(next);
        return;
    }
    m_events.after(next.delay, [this, wait] {
        m_callbacks.runWhenActive([this, wait] {
            if (wait == m_lastWait && !m_isCalling)
                step();
        });
    });
}

void emulated_mirror::run(const follower_step &step)
{
    if (step.kind == follower_step::action::Copy)
        callPeer(step);
    else if (step.kind != follower_step::action::Idle)
        callStore(step);
}

void emulated_mirror::callStore(const follower_step &step)
{
    const std::string &prefix = m_follower.mirror().prefix();
    const std::uint64_t call = ++m_lastCall;
    const auto callback = [this, call, step](const store_answer &answer) {
        m_callbacks.runWhenActive([this, call, step, answer] { onResult(call, step, answer); });
    };
    m_isCalling = true;
    m_isCopying = false;
    m_calledAt = m_events.now();
    m_isWatching = step.kind == follower_step::action::Watch;
    if (m_isWatching)
        m_store.watch(m_router, prefix, step.revision, step.wait, step.wait + callTimeout,
                      callback);
    else
        m_store.list(m_router, prefix, step.afterKey, listTimeout, callback);
}

void emulated_mirror::callPeer(const follower_step &step)
{
    const std::uint64_t call = ++m_lastCall;
    m_isCalling = true;
    m_isCopying = true;
    const prefix_mirror &mirror = m_follower.mirror();
    const copy_answer answer
        = m_callbacks.copyFromPeer(step.host, mirror.isComplete() ? mirror.revision() : 0);
    const absl::Duration time = peerLatency + answer.transferTime;
    const bool isInTime = answer.isAnswered && time <= peerTimeout;
    const std::optional<mirror_copy> copy = isInTime ? answer.copy : std::nullopt;
    m_events.after(isInTime ? time : peerTimeout, [this, call, copy] {
        m_callbacks.runWhenActive([this, call, copy] { onPeerResult(call, copy); });
    });
}

void emulated_mirror::onPeerRevision(std::int64_t revision)
{
    m_follower.onPeerRevision(revision, m_events.now());
}

void emulated_mirror::onUpdate(const mirror_update &update, const std::string &host)
{
    reportCurrent();
    const std::vector<key_change> changes = m_follower.onUpdate(update, host, m_events.now());
    reportCurrent();
    reportChanges(changes, false);
    if (!m_isCalling)
        step();
}

void emulated_mirror::onResult(std::uint64_t call, const follower_step &step,
                               const store_answer &answer)
{
    if (call != m_lastCall)
        return;
    m_isCalling = false;
    m_isWatching = false;
    const absl::Time now = m_events.now();
    const bool first = !m_follower.mirror().isComplete();
    reportCurrent();
    std::vector<key_change> appliedChanges;
    if (!answer)
        m_follower.onFailure(now);
    else if (const auto *listing = std::get_if<listing_page>(&*answer))
        appliedChanges = m_follower.onListing(*listing, step.afterKey, now);
    else if (const auto *changes = std::get_if<change_page>(&*answer))
        appliedChanges = m_follower.onChanges(*changes, step.revision, now);
    else
        m_follower.onHistoryLost(now);
    if (const auto update = m_follower.takeUpdate())
        m_callbacks.sendUpdate(*update);
    reportCurrent();
    reportChanges(appliedChanges, first);
    this->step();
}

void emulated_mirror::onPeerResult(std::uint64_t call, const std::optional<mirror_copy> &copy)
{
    if (call != m_lastCall)
        return;
    m_isCalling = false;
    const bool first = !m_follower.mirror().isComplete();
    reportCurrent();
    std::vector<key_change> changes;
    if (copy)
        changes = m_follower.onCopy(*copy, m_events.now());
    else
        m_follower.onCopyFailed(m_events.now());
    reportCurrent();
    reportChanges(changes, first);
    step();
}

void emulated_mirror::reportChanges(const std::vector<key_change> &changes, bool first)
{
    if (!changes.empty())
        m_callbacks.onChanges(changes, first);
}

void emulated_mirror::reportCurrent()
{
    const bool isCurrent = m_follower.isCurrent(m_events.now());
    if (isCurrent != std::exchange(m_wasCurrent, isCurrent))
        m_callbacks.onCurrentChanged(isCurrent);
}

} // namespace quetzal::bench
