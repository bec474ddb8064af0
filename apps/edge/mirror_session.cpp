#include "apps/edge/mirror_session.h"

#include "apps/edge/edge_clock.h"
#include "directory/mirror/mirror_codec.h"
#include "platform/store_dialect.h"

#include <utility>

namespace quetzal {

namespace {

/** Time for the store to answer after the wait of a watch has elapsed. */
constexpr absl::Duration callTimeout = absl::Milliseconds(800);
constexpr absl::Duration listTimeout = absl::Milliseconds(1500);
constexpr absl::Duration peerTimeout = absl::Milliseconds(400);
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;

} // namespace

mirror_session::mirror_session(boost::asio::io_context &loop, event_log &log,
                               const network_address &store, follower_options options,
                               mirror_callbacks callbacks)
    : m_loop(loop)
    , m_timer(loop)
    , m_log(log)
    , m_client(std::make_shared<http_client>(loop, store))
    , m_follower(std::move(options))
    , m_callbacks(std::move(callbacks))
{
}

void mirror_session::start()
{
    step();
}

void mirror_session::stop()
{
    m_timer.cancel();
    m_client->stop();
    if (m_peerClient)
        m_peerClient->stop();
    m_peerClient.reset();
}

void mirror_session::update(absl::Time now)
{
    reportCurrent(now);
    const bool first = !m_follower.mirror().isComplete();
    reportChanges(m_follower.applyOldCopy(now), first);
    if (m_call == call_state::Watch && m_follower.isWatchBehind(m_calledAt, now)) {
        m_log.line("watch_behind")
            .text("prefix", m_follower.mirror().prefix())
            .number("revision", m_follower.mirror().revision());
        abortCall();
    }
    const bool isListing = m_call == call_state::List;
    if (isListing && m_follower.isFirstListingSlow(m_calledAt, now, m_callbacks.hasPeers())) {
        m_log.line("listing_slow").text("prefix", m_follower.mirror().prefix());
        abortCall();
        m_follower.onFailure(now);
    }
    step();
}

void mirror_session::abortCall()
{
    m_client->stop();
    m_call = call_state::None;
}

void mirror_session::onPeerRevision(std::int64_t revision, absl::Time now)
{
    m_follower.onPeerRevision(revision, now);
}

void mirror_session::onUpdate(const mirror_update &update, const std::string &host, absl::Time now)
{
    // Whether the replica was current decides what becomes of targets that the update removes.
    reportCurrent(now);
    const std::int64_t before = m_follower.mirror().revision();
    const std::vector<key_change> changes = m_follower.onUpdate(update, host, now);
    reportUpdate(update, before);
    reportCurrent(now);
    reportChanges(changes, false);
    step();
}

void mirror_session::step()
{
    if (m_call != call_state::None)
        return;
    const follower_step next = m_follower.next(edgeNow(), m_callbacks.hasPeers());
    if (next.delay <= absl::ZeroDuration()) {
        m_timer.cancel();
        run(next);
        return;
    }
    m_timer.expires_after(absl::ToChronoNanoseconds(next.delay));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

void mirror_session::run(const follower_step &step)
{
    if (step.kind == follower_step::action::Copy)
        callPeer(step);
    else if (step.kind != follower_step::action::Idle)
        callStore(step);
}

void mirror_session::callStore(const follower_step &step)
{
    const std::string &prefix = m_follower.mirror().prefix();
    const bool isWatch = step.kind == follower_step::action::Watch;
    m_call = isWatch ? call_state::Watch : call_state::List;
    m_calledAt = edgeNow();
    const platform::store_call call = isWatch
        ? platform::watchCall(prefix, step.revision, step.wait)
        : platform::listCall(prefix, step.afterKey);
    m_client->call(
        {.method = call.method,
         .target = call.target,
         .body = call.body,
         .timeout = isWatch ? step.wait + callTimeout : listTimeout},
        [this, step](const std::optional<http_result> &result) { onStoreResult(step, result); });
}

void mirror_session::onStoreResult(const follower_step &step,
                                   const std::optional<http_result> &result)
{
    const bool isWatch = step.kind == follower_step::action::Watch;
    m_call = call_state::None;
    reportCurrent(edgeNow());
    if (result && isWatch && result->status == platform::historyLostStatus) {
        m_log.line("history_lost").text("prefix", m_follower.mirror().prefix());
        m_follower.onHistoryLost(edgeNow());
    } else if (!result || result->status != statusOk || !apply(step, *result)) {
        m_log.line("store_call_failed")
            .text("prefix", m_follower.mirror().prefix())
            .flag("watch", isWatch)
            .number("status", result ? result->status : 0)
            .number("bytes", result ? static_cast<std::int64_t>(result->body.size()) : 0);
        m_follower.onFailure(edgeNow());
    }
    this->step();
}

bool mirror_session::apply(const follower_step &step, const http_result &result)
{
    const absl::Time now = edgeNow();
    const bool first = !m_follower.mirror().isComplete();
    const auto era = platform::readEra(result.fields);
    if (!era)
        return false;
    std::vector<key_change> changes;
    if (step.kind == follower_step::action::Watch) {
        const auto page = platform::readChanges(result.body, *era);
        if (!page)
            return false;
        reportUnreadable(page->unreadableCount);
        reportAnswer(step, page->revision, page->changes.size());
        changes = m_follower.onChanges(*page, step.revision, now);
    } else {
        const auto page = platform::readListing(result.body, *era);
        if (!page)
            return false;
        reportUnreadable(page->unreadableCount);
        reportAnswer(step, page->revision, page->items.size());
        changes = m_follower.onListing(*page, step.afterKey, now);
    }
    sendUpdate();
    reportCurrent(now);
    reportChanges(changes, first);
    return true;
}

void mirror_session::sendUpdate()
{
    if (const auto update = m_follower.takeUpdate())
        m_callbacks.sendUpdate(*update);
}

std::string mirror_session::encodedCopyAfter(std::int64_t revision) const
{
    const auto copy = m_follower.copyAfter(revision, edgeNow());
    return copy ? encodeMirror(*copy) : std::string();
}

void mirror_session::callPeer(const follower_step &step)
{
    const auto peer = m_callbacks.peerAt(step.host);
    if (!peer) {
        m_follower.onCopyFailed(edgeNow());
        this->step();
        return;
    }
    m_call = call_state::Copy;
    if (m_peerClient)
        m_peerClient->stop();
    m_peerClient = std::make_shared<http_client>(m_loop, *peer);
    const prefix_mirror &mirror = m_follower.mirror();
    const std::int64_t known = mirror.isComplete() ? mirror.revision() : 0;
    m_peerClient->call(
        {.target = mirrorPath + mirror.prefix() + "?after=" + std::to_string(known),
         .timeout = peerTimeout},
        [this, peer](const std::optional<http_result> &result) { onPeerResult(*peer, result); });
}

void mirror_session::onPeerResult(const network_address &peer,
                                  const std::optional<http_result> &result)
{
    m_call = call_state::None;
    // The other router keeps nothing for a connection that is not used again.
    m_peerClient->stop();
    const absl::Time now = edgeNow();
    const bool first = !m_follower.mirror().isComplete();
    const auto copy
        = result && result->status == statusOk ? decodeMirror(result->body) : std::nullopt;
    reportCurrent(now);
    std::vector<key_change> changes;
    if (copy)
        changes = m_follower.onCopy(*copy, now);
    else
        m_follower.onCopyFailed(now);
    const bool isTaken = copy && m_follower.mirror().revision() == copy->revision;
    const bool isUpToDate = result && result->status == statusNoContent;
    if (!isUpToDate)
        m_log.line(isTaken ? "copy_taken" : "copy_not_taken")
            .text("prefix", m_follower.mirror().prefix())
            .text("from", peer.host)
            .number("status", result ? result->status : 0)
            .number("revision", copy ? copy->revision : m_follower.mirror().revision())
            .number("ageMs", copy ? absl::ToInt64Milliseconds(copy->age) : 0);
    reportCurrent(now);
    reportChanges(changes, first);
    step();
}

void mirror_session::reportChanges(const std::vector<key_change> &changes, bool first)
{
    if (!changes.empty())
        m_callbacks.onChanges(changes, first);
}

void mirror_session::reportAnswer(const follower_step &step, std::int64_t revision,
                                  std::size_t rows)
{
    m_log.line("store_answer")
        .text("prefix", m_follower.mirror().prefix())
        .flag("watch", step.kind == follower_step::action::Watch)
        .number("after", step.revision)
        .number("revision", revision)
        .number("rows", static_cast<std::int64_t>(rows))
        .number("waitMs", absl::ToInt64Milliseconds(step.wait))
        .number("tookMs", absl::ToInt64Milliseconds(edgeNow() - m_calledAt));
}

void mirror_session::reportUpdate(const mirror_update &update, std::int64_t before)
{
    const std::int64_t revision = m_follower.mirror().revision();
    const bool isMissed = update.revision > revision;
    if (update.changes.empty() && !isMissed)
        return;
    m_log.line(isMissed ? "update_missed" : "update")
        .text("prefix", m_follower.mirror().prefix())
        .text("from", update.vm)
        .number("after", update.after)
        .number("revision", update.revision)
        .number("changes", static_cast<std::int64_t>(update.changes.size()))
        .number("before", before)
        .number("own", revision);
}

void mirror_session::reportUnreadable(std::size_t rows)
{
    if (rows > 0)
        m_log.line("rows_unreadable")
            .text("prefix", m_follower.mirror().prefix())
            .number("count", static_cast<std::int64_t>(rows));
}

void mirror_session::reportCurrent(absl::Time now)
{
    const bool isCurrent = m_follower.isCurrent(now);
    if (isCurrent == std::exchange(m_wasCurrent, isCurrent))
        return;
    const auto &missed = m_follower.missed();
    m_log.line(isCurrent ? "store_reached" : "store_lost")
        .text("prefix", m_follower.mirror().prefix())
        .number("revision", m_follower.mirror().revision())
        .number("missedRevision", missed ? missed->revision() : 0)
        .number("missedMs", missed ? absl::ToInt64Milliseconds(now - missed->since()) : 0);
    if (m_callbacks.onCurrentChanged)
        m_callbacks.onCurrentChanged(isCurrent);
}

} // namespace quetzal
