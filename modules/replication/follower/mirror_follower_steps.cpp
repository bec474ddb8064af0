#include "replication/follower/mirror_follower.h"

#include <algorithm>

namespace quetzal {

namespace {

/** How long a router that starts waits to hear another one before it calls the service. */
constexpr absl::Duration firstHearTime = absl::Milliseconds(30);
/** The time between the first listings of two routers that start at the same time. */
constexpr absl::Duration listingDelayPerRank = absl::Milliseconds(2);
constexpr absl::Duration maxListingDelay = absl::Milliseconds(600);
/** The first listings are spread over this time while the routers are not known. */
constexpr absl::Duration unknownRankSpread = absl::Milliseconds(300);
/** How much longer copies are requested when a router is known to have one. */
constexpr absl::Duration expectedCopyTime = absl::Milliseconds(600);
/** The requests of a large fleet for a missed update are spread over this time. */
constexpr absl::Duration maxCopySpread = absl::Milliseconds(300);
constexpr double routersForMaxSpread = 200.0;
/** The routers that call a failing service make one call each in this time, all together. */
constexpr absl::Duration retryDelayPerRouter = absl::Milliseconds(10);
/** The shortest time after which an idle follower determines its step again. */
constexpr absl::Duration minIdleTime = absl::Milliseconds(10);

/** Returns the time left until a moment; zero if it has passed. */
absl::Duration timeUntil(absl::Time moment, absl::Time now)
{
    return std::max(moment - now, absl::ZeroDuration());
}

} // namespace

follower_step mirror_follower::next(absl::Time now, bool hasPeers) const
{
    if (m_isCopyTurn && hasPeers)
        return {.kind = follower_step::action::Copy,
                .delay = timeUntil(m_storeAnsweredAt + copyInterval, now)};
    if (!m_mirror.isComplete()) {
        const auto step = firstCopyStep(now, hasPeers);
        return step ? *step : listStep(now);
    }
    if (m_isListing)
        return listStep(now);
    if (m_missed) {
        const auto step = hasPeers ? missedUpdateStep(now) : std::nullopt;
        return step ? *step : watchStep(now);
    }
    // Updates that are heard but do not fit the replica do not keep it current.
    if (isReader(now) || !isCurrent(now))
        return watchStep(now);
    const absl::Time takeoverAt
        = std::min(m_readerHeardAt + m_order.takeoverDelay(), m_confirmedAt + m_options.maxAge);
    return {.kind = follower_step::action::Idle, .delay = std::max(takeoverAt - now, minIdleTime)};
}

absl::Time mirror_follower::firstListingAt() const
{
    absl::Time listAt = m_options.startedAt + firstHearTime;
    if (m_isCopyExpected)
        listAt += expectedCopyTime;
    if (m_options.listsAtOnce)
        return listAt;
    if (!m_areRoutersKnown)
        return listAt + unknownRankSpread * m_spread;
    return listAt
        + std::min(listingDelayPerRank * static_cast<double>(m_order.rank()), maxListingDelay);
}

std::optional<follower_step> mirror_follower::firstCopyStep(absl::Time now, bool hasPeers) const
{
    const bool isListingBegun = m_listedRevision.has_value() || m_failures > 0;
    const absl::Duration timeLeft = firstListingAt() - now;
    if (isListingBegun || timeLeft <= absl::ZeroDuration())
        return std::nullopt;
    if (!hasPeers)
        return follower_step {.kind = follower_step::action::Idle, .delay = timeLeft};
    return follower_step {.kind = follower_step::action::Copy,
                          .host = m_copyHost,
                          .delay = std::min(timeUntil(m_lastCopyAt + copyInterval, now), timeLeft)};
}

std::optional<follower_step> mirror_follower::missedUpdateStep(absl::Time now) const
{
    if (m_missed->source(m_order.routerCount()) == change_source::Service)
        return std::nullopt;
    const absl::Time copyAt
        = std::max(m_missed->since() + copySpread(), m_lastCopyAt + copyInterval);
    return follower_step {.kind = follower_step::action::Copy,
                          .host = m_missed->host(),
                          .delay = timeUntil(copyAt, now)};
}

follower_step mirror_follower::listStep(absl::Time now) const
{
    return {.kind = follower_step::action::List,
            .afterKey = lastListedKey(),
            .delay = timeUntil(m_storeAnsweredAt + retryDelay(), now)};
}

follower_step mirror_follower::watchStep(absl::Time now) const
{
    const bool isConfirmationDue = m_isAnnouncementDue || now - m_confirmedAt > watchTimeout;
    absl::Duration delay = retryDelay();
    if (m_hadChanges && !m_missed)
        delay = std::max(delay, batchDelay);
    return {.kind = follower_step::action::Watch,
            .revision = m_mirror.revision(),
            .wait = isConfirmationDue ? shortWatchTimeout : watchTimeout,
            .delay = timeUntil(m_storeAnsweredAt + delay, now)};
}

absl::Duration mirror_follower::retryDelay() const
{
    if (m_failures == 0)
        return absl::ZeroDuration();
    const absl::Duration shared = retryDelayPerRouter * static_cast<double>(m_order.rank());
    const absl::Duration longest = std::min(std::max(maxRetryDelay, shared), maxSharedRetryDelay);
    return std::min(initialRetryDelay * m_failures, longest);
}

absl::Duration mirror_follower::copySpread() const
{
    const double fleet = static_cast<double>(m_order.routerCount()) / routersForMaxSpread;
    return maxCopySpread * std::min(fleet, 1.0) * m_spread;
}

} // namespace quetzal
