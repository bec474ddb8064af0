#include "directory/mirror/mirror_follower.h"

#include <algorithm>
#include <utility>

namespace quetzal {

mirror_follower::mirror_follower(std::string prefix)
    : m_mirror(std::move(prefix))
{
}

follower_step mirror_follower::next() const
{
    follower_step step;
    if (m_failures > 0)
        step.delay = std::min(initialRetryDelay * m_failures, maxRetryDelay);
    if (!m_isListing) {
        step.kind = follower_step::action::Watch;
        step.revision = m_mirror.revision();
        step.isFirstWatch = m_isFirstWatch;
        if (m_hadChanges)
            step.delay = std::max(step.delay, batchDelay);
        return step;
    }
    if (!m_listed.empty())
        step.afterKey = m_listed.back().key;
    return step;
}

void mirror_follower::onSuccess(absl::Time now)
{
    m_failures = 0;
    m_lastSuccess = now;
}

std::vector<key_change> mirror_follower::onListing(const listing_page &page, absl::Time now)
{
    onSuccess(now);
    if (m_listed.empty())
        m_listedRevision = page.revision;
    m_listed.insert(m_listed.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty())
        return {};
    m_isListing = false;
    m_isFirstWatch = true;
    return m_mirror.applyListing(std::exchange(m_listed, {}), m_listedRevision);
}

std::vector<key_change> mirror_follower::onChanges(const change_page &page, absl::Time now)
{
    onSuccess(now);
    m_hadChanges = !page.changes.empty();
    m_isFirstWatch = m_hadChanges;
    return m_mirror.applyChanges(page.changes, page.revision);
}

void mirror_follower::onHistoryLost()
{
    m_isListing = true;
    m_listed.clear();
}

void mirror_follower::onFailure(absl::Time)
{
    ++m_failures;
    m_isFirstWatch = true;
    if (m_isListing)
        m_listed.clear();
}

bool mirror_follower::isWatchBehind(std::int64_t revision, absl::Time now)
{
    if (revision <= std::max(m_mirror.lastChangeRevision(), m_mirror.revision())) {
        m_behindSince = absl::InfiniteFuture();
        return false;
    }
    m_behindSince = std::min(m_behindSince, now);
    if (now - m_behindSince < maxWatchLag)
        return false;
    m_behindSince = absl::InfiniteFuture();
    return true;
}

std::vector<key_change> mirror_follower::onPeerListing(const std::vector<stored_item> &items,
                                                       std::int64_t revision)
{
    return m_mirror.applyListing(items, revision);
}

} // namespace quetzal
