#include "replication/follower/mirror_follower.h"

#include "directory/mirror/store_revision.h"
#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

/** How long after the start a first copy must be recent. */
constexpr absl::Duration recentCopyTime = absl::Milliseconds(500);
/** Returns a number between 0 and 1 that is evenly distributed over the routers. */
double spreadOf(const follower_options &options)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(stableHash(options.prefix + options.self) % steps) / steps;
}

} // namespace

mirror_follower::mirror_follower(follower_options options)
    : m_options(std::move(options))
    , m_order(m_options.prefix, m_options.self)
    , m_mirror(m_options.prefix)
    , m_spread(spreadOf(m_options))
{
}

void mirror_follower::setRouters(const std::vector<std::string> &members)
{
    m_order.setRouters(members);
    m_areRoutersKnown = true;
}

bool mirror_follower::isWatchBehind(absl::Time calledAt, absl::Time now) const
{
    return m_missed && calledAt <= m_missed->since() && now - m_missed->since() >= maxWatchLag;
}

bool mirror_follower::isFirstListingSlow(absl::Time calledAt, absl::Time now, bool hasPeers) const
{
    return hasPeers && !m_hadCopyTurn && !m_mirror.isComplete()
        && now - calledAt >= maxFirstListingTime;
}

bool mirror_follower::isReader(absl::Time now) const
{
    return m_order.rank() == 0 || now - m_readerHeardAt >= m_order.takeoverDelay();
}

bool mirror_follower::isCurrent(absl::Time now) const
{
    const bool isBehind = m_missed && now - m_missed->since() > maxUpdateLag;
    return m_mirror.isComplete() && !isBehind && now - m_confirmedAt <= m_options.maxAge;
}

void mirror_follower::confirm(std::int64_t revision, absl::Time asOf)
{
    endMissed();
    if (revision >= m_mirror.revision() && !m_missed)
        m_confirmedAt = std::max(m_confirmedAt, asOf);
}

void mirror_follower::endMissed()
{
    if (m_missed && m_mirror.revision() >= m_missed->revision())
        m_missed.reset();
}

std::string mirror_follower::lastListedKey() const
{
    return m_listed.empty() ? std::string() : m_listed.back().key;
}

std::vector<key_change> mirror_follower::onListing(const listing_page &page,
                                                   const std::string &afterKey, absl::Time now)
{
    // Without a listing in progress the page is late; with one, the replica itself is mistaken.
    if (isOfEarlierEra(page.revision) && !m_isListing) {
        onFailure(now);
        return {};
    }
    onStoreAnswer(now);
    if (afterKey != lastListedKey())
        return {};
    if (m_listedRevision && eraOf(*m_listedRevision) != eraOf(page.revision)) {
        dropListing();
        m_isListing = true;
        return {};
    }
    if (!m_listedRevision) {
        m_listedRevision = page.revision;
        m_listedAt = now;
        m_isMistaken = m_isMistaken || page.revision < m_revisionOfLoss;
    }
    m_listed.insert(m_listed.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty())
        return {};
    m_isListing = false;
    const bool wasComplete = m_mirror.isComplete();
    const std::int64_t previous = m_mirror.revision();
    const std::int64_t revision = *std::exchange(m_listedRevision, std::nullopt);
    const std::vector<stored_item> listed = std::exchange(m_listed, {});
    const bool isReplaced = std::exchange(m_isMistaken, false);
    std::vector<key_change> changes = isReplaced ? m_mirror.replaceBy(listed, revision)
                                                 : m_mirror.applyListing(listed, revision);
    confirm(revision, m_listedAt);
    m_isAnnouncementDue = !wasComplete;
    if (wasComplete && !isReplaced && revision > previous && isReader(now))
        m_outgoing = {.vm = m_options.self,
                      .prefix = m_options.position,
                      .after = previous,
                      .revision = revision,
                      .isDifference = true,
                      .changes = changes};
    return changes;
}

std::vector<key_change> mirror_follower::onChanges(const change_page &page,
                                                   std::int64_t watchedFrom, absl::Time now)
{
    const bool isLate = isOfEarlierEra(page.revision) && page.revision >= watchedFrom;
    if (isLate) {
        onFailure(now);
        return {};
    }
    onStoreAnswer(now);
    if (eraOf(page.revision) > eraOf(watchedFrom)) {
        onHistoryLost(now);
        return {};
    }
    if (page.revision < watchedFrom) {
        onHistoryLost(now);
        m_isMistaken = true;
        m_missed.reset();
        return {};
    }
    m_isAnnouncementDue = false;
    m_hadChanges = !page.changes.empty();
    const std::int64_t after = std::min(watchedFrom, m_mirror.unchangedSince());
    std::vector<key_change> changes = m_mirror.applyChanges(page.changes, page.revision);
    endMissed();
    // Asked after this router was told, the service itself does not know of the change.
    if (m_missed && m_missed->source(m_order.routerCount()) == change_source::Service)
        m_missed.reset();
    confirm(page.revision, now);
    if (isReader(now))
        m_outgoing = {.vm = m_options.self,
                      .prefix = m_options.position,
                      .after = after,
                      .revision = page.revision,
                      .changes = page.changes};
    return changes;
}

void mirror_follower::onHistoryLost(absl::Time now)
{
    onStoreAnswer(now);
    dropListing();
    m_isListing = true;
    m_revisionOfLoss = m_mirror.revision();
}

bool mirror_follower::isOfEarlierEra(std::int64_t revision) const
{
    return m_mirror.isComplete() && eraOf(revision) < eraOf(m_mirror.revision());
}

void mirror_follower::dropListing()
{
    m_isListing = false;
    m_listed.clear();
    m_listedRevision.reset();
}

void mirror_follower::onStoreAnswer(absl::Time now)
{
    m_failures = 0;
    m_storeAnsweredAt = now;
}

void mirror_follower::onFailure(absl::Time now)
{
    ++m_failures;
    m_storeAnsweredAt = now;
    if (m_missed && m_missed->source(m_order.routerCount()) == change_source::Service)
        m_missed->onSourceFailed();
    m_isCopyTurn = true;
    m_hadCopyTurn = true;
}

std::vector<key_change> mirror_follower::onCopy(const mirror_copy &copy, absl::Time now)
{
    if (copy.revision <= m_mirror.revision()) {
        onCopyFailed(now);
        return {};
    }
    const bool isOld = !m_mirror.isComplete() && copy.age > maxFirstCopyAge;
    if (!isOld || now >= m_options.startedAt + recentCopyTime)
        return applyCopy(copy, now);
    if (!m_oldCopy || copy.revision > m_oldCopy->revision) {
        m_oldCopy = copy;
        m_oldCopyAt = now;
    }
    onCopyFailed(now);
    return {};
}

std::vector<key_change> mirror_follower::applyOldCopy(absl::Time now)
{
    if (m_mirror.isComplete())
        m_oldCopy.reset();
    if (!m_oldCopy || now < m_options.startedAt + recentCopyTime)
        return {};
    mirror_copy copy = *std::exchange(m_oldCopy, std::nullopt);
    copy.age += now - m_oldCopyAt;
    return applyCopy(copy, now);
}

std::vector<key_change> mirror_follower::applyCopy(const mirror_copy &copy, absl::Time now)
{
    m_isCopyTurn = false;
    m_lastCopyAt = now;
    dropListing();
    std::vector<key_change> changes
        = m_mirror.applyListing(copy.items, copy.revision, copy.unchangedSince);
    confirm(copy.revision, now - copy.age);
    m_readerHeardAt = std::max(m_readerHeardAt, now - copy.age);
    if (m_missed)
        m_missed->onSourceFailed();
    return changes;
}

void mirror_follower::onCopyFailed(absl::Time now)
{
    m_isCopyTurn = false;
    m_lastCopyAt = now;
    m_copyHost.clear();
    if (m_missed)
        m_missed->onSourceFailed();
}

std::vector<key_change> mirror_follower::onUpdate(const mirror_update &update,
                                                  const std::string &host, absl::Time now)
{
    if (m_order.precedes(update.vm) && !isOfEarlierEra(update.revision))
        m_readerHeardAt = std::max(m_readerHeardAt, now);
    if (!m_mirror.isComplete()) {
        m_copyHost = host;
        m_isCopyExpected = true;
    }
    if (!m_mirror.isComplete() || update.revision < m_mirror.revision())
        return {};
    const bool isConnected = update.isDifference
        ? m_mirror.unchangedSince() <= update.after && update.after <= m_mirror.revision()
        : update.after <= m_mirror.revision();
    if (!isConnected && update.revision > m_mirror.revision()) {
        onMissed(update.revision, host, now);
        return {};
    }
    // The service may have kept the history from here on.
    if (update.revision > m_mirror.revision() && !m_isMistaken)
        dropListing();
    std::vector<key_change> changes = m_mirror.applyChanges(update.changes, update.revision);
    confirm(update.revision, now);
    return changes;
}

void mirror_follower::onPeerRevision(std::int64_t revision, absl::Time now)
{
    if (!m_mirror.isComplete() || revision <= m_mirror.revision()) {
        m_behindSince = absl::InfiniteFuture();
        return;
    }
    m_behindSince = std::min(m_behindSince, now);
    if (now - m_behindSince < maxUpdateLag)
        return;
    m_behindSince = absl::InfiniteFuture();
    onMissed(revision, {}, now);
}

void mirror_follower::onMissed(std::int64_t revision, const std::string &host, absl::Time now)
{
    if (!m_missed)
        m_missed.emplace(revision, host, now);
    m_missed->onTold(revision, host);
}

std::optional<mirror_update> mirror_follower::takeUpdate()
{
    return std::exchange(m_outgoing, std::nullopt);
}

std::optional<mirror_copy> mirror_follower::copyAfter(std::int64_t revision, absl::Time now) const
{
    if (!m_mirror.isComplete() || m_mirror.revision() <= revision)
        return std::nullopt;
    return mirror_copy {.items = m_mirror.items(),
                        .revision = m_mirror.revision(),
                        .unchangedSince = m_mirror.unchangedSince(),
                        .age = now - m_confirmedAt};
}

} // namespace quetzal
