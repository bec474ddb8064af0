#include "apps/edge/mirror_session.h"

#include "apps/edge/edge_clock.h"
#include "directory/mirror/mirror_codec.h"
#include "platform/store_dialect.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace quetzal {

namespace {

/** Time for the store to answer after the wait of a watch has elapsed. */
constexpr absl::Duration callTimeout = absl::Milliseconds(800);
constexpr absl::Duration listTimeout = absl::Milliseconds(1500);
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
/** Delay between calls to other routers while the store is unreachable. */
constexpr std::chrono::milliseconds peerCallDelay {400};
constexpr absl::Duration peerTimeout = absl::Milliseconds(600);

} // namespace

mirror_session::mirror_session(boost::asio::io_context &loop, event_log &log,
                               const network_address &store, std::string prefix,
                               mirror_callbacks callbacks)
    : m_timer(loop)
    , m_log(log)
    , m_client(std::make_shared<http_client>(loop, store))
    , m_follower(std::move(prefix))
    , m_callbacks(std::move(callbacks))
    , m_watchTimeouts(watchTimeouts(1, 0))
    , m_loop(loop)
    , m_peerTimer(loop)
{
}

void mirror_session::start()
{
    step();
}

void mirror_session::stop()
{
    m_timer.cancel();
    m_peerTimer.cancel();
    m_client->stop();
    if (m_peerClient)
        m_peerClient->stop();
    m_peerClient.reset();
}

void mirror_session::onChangeReportedByPeer(std::int64_t revision, absl::Time now)
{
    if (!m_isWatching || !m_follower.isWatchBehind(revision, now))
        return;
    m_log.line("watch_behind")
        .text("prefix", m_follower.mirror().prefix())
        .number("revision", m_follower.mirror().revision())
        .number("elsewhere", revision);
    m_isWatching = false;
    m_client->stop();
    step();
}

void mirror_session::step()
{
    const follower_step next = m_follower.next();
    if (next.delay <= absl::ZeroDuration()) {
        run(next);
        return;
    }
    m_timer.expires_after(absl::ToChronoNanoseconds(next.delay));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            run(m_follower.next());
    });
}

void mirror_session::run(const follower_step &step)
{
    const std::string &prefix = m_follower.mirror().prefix();
    const bool isWatch = step.kind == follower_step::action::Watch;
    m_isWatching = isWatch;
    const absl::Duration wait = step.isFirstWatch ? m_watchTimeouts.first : m_watchTimeouts.regular;
    const platform::store_call call = isWatch ? platform::watchCall(prefix, step.revision, wait)
                                              : platform::listCall(prefix, step.afterKey);
    m_client->call(
        {.method = call.method,
         .target = call.target,
         .body = call.body,
         .timeout = isWatch ? wait + callTimeout : listTimeout},
        [this, step](const std::optional<http_result> &result) { onResult(step, result); });
}

void mirror_session::onResult(const follower_step &step, const std::optional<http_result> &result)
{
    const bool isWatch = step.kind == follower_step::action::Watch;
    m_isWatching = false;
    if (result && isWatch && result->status == platform::historyLostStatus) {
        m_log.line("history_lost").text("prefix", m_follower.mirror().prefix());
        m_follower.onHistoryLost();
    } else if (!result || result->status != statusOk || !apply(step, *result)) {
        m_log.line("store_call_failed")
            .text("prefix", m_follower.mirror().prefix())
            .flag("watch", isWatch)
            .number("status", result ? result->status : 0)
            .number("bytes", result ? static_cast<std::int64_t>(result->body.size()) : 0);
        m_follower.onFailure(edgeNow());
        schedulePeerCall();
    }
    reportReachability();
    this->step();
}

bool mirror_session::apply(const follower_step &step, const http_result &result)
{
    const absl::Time now = edgeNow();
    const bool first = !m_follower.mirror().isComplete();
    if (step.kind == follower_step::action::Watch) {
        const auto page = platform::readChanges(result.body);
        if (!page)
            return false;
        reportUnreadable(page->unreadableCount);
        const auto changes = m_follower.onChanges(*page, now);
        reportReachability();
        reportChanges(changes, false);
        return true;
    }
    const auto page = platform::readListing(result.body);
    if (!page)
        return false;
    reportUnreadable(page->unreadableCount);
    const auto changes = m_follower.onListing(*page, now);
    reportReachability();
    reportChanges(changes, first);
    return true;
}

std::string mirror_session::encodedCopyAfter(std::int64_t revision) const
{
    const prefix_mirror &mirror = m_follower.mirror();
    if (!mirror.isComplete() || mirror.revision() <= revision)
        return {};
    return encodeMirror({.items = mirror.items(), .revision = mirror.revision()});
}

void mirror_session::schedulePeerCall()
{
    if (m_isPeerCallPending || !m_callbacks.nextPeer)
        return;
    m_isPeerCallPending = true;
    m_peerTimer.expires_after(peerCallDelay);
    m_peerTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            callPeer();
    });
}

void mirror_session::callPeer()
{
    m_isPeerCallPending = false;
    if (m_follower.isReachable())
        return;
    const auto peer = m_callbacks.nextPeer();
    if (!peer) {
        schedulePeerCall();
        return;
    }
    m_isPeerCallPending = true;
    m_peerClient = std::make_shared<http_client>(m_loop, *peer);
    const prefix_mirror &mirror = m_follower.mirror();
    const std::int64_t known = mirror.isComplete() ? mirror.revision() : 0;
    m_peerClient->call(
        {.target = mirrorPath + mirror.prefix() + "?after=" + std::to_string(known),
         .timeout = peerTimeout},
        [this, peer](const std::optional<http_result> &result) { onPeerCopy(*peer, result); });
}

void mirror_session::onPeerCopy(const network_address &peer,
                                const std::optional<http_result> &result)
{
    m_isPeerCallPending = false;
    const auto page
        = result && result->status == statusOk ? decodeMirror(result->body) : std::nullopt;
    const bool isUpToDate = result && result->status == statusNoContent;
    if (!isUpToDate)
        m_log.line(page ? "copy_taken" : "copy_not_taken")
            .text("prefix", m_follower.mirror().prefix())
            .text("from", peer.host)
            .number("status", result ? result->status : 0)
            .number("revision", page ? page->revision : m_follower.mirror().revision());
    if (page) {
        const bool first = !m_follower.mirror().isComplete();
        reportChanges(m_follower.onPeerListing(page->items, page->revision), first);
    }
    schedulePeerCall();
}

void mirror_session::reportChanges(const std::vector<key_change> &changes, bool first)
{
    if (!changes.empty())
        m_callbacks.onChanges(changes, first);
}

void mirror_session::reportUnreadable(std::size_t rows)
{
    if (rows > 0)
        m_log.line("rows_unreadable")
            .text("prefix", m_follower.mirror().prefix())
            .number("count", static_cast<std::int64_t>(rows));
}

void mirror_session::reportReachability()
{
    const bool isReachable = m_follower.isReachable();
    if (isReachable == std::exchange(m_wasReachable, isReachable))
        return;
    m_log.line(isReachable ? "store_reached" : "store_lost")
        .text("prefix", m_follower.mirror().prefix())
        .number("revision", m_follower.mirror().revision());
    if (m_callbacks.onReachabilityChanged)
        m_callbacks.onReachabilityChanged(isReachable);
}

} // namespace quetzal
