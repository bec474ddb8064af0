#include "exchange/view/fleet_view.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace quetzal {

namespace {

/** Digests of routers that were silent this long are removed; they are stale long before. */
constexpr absl::Duration maxSilence = absl::Minutes(1);

} // namespace

void fleet_view::setPeerCount(std::size_t peers)
{
    m_loadLifetime = digestLifetime(digestInterval(peers));
    m_backlogLifetime = digestLifetime(backlogInterval(peers));
    m_sumsValidUntil = absl::InfinitePast();
}

fleet_view::received_digests *fleet_view::entryFor(const std::string &vm, std::uint64_t incarnation,
                                                   std::uint64_t sequence)
{
    received_digests &known = m_received[vm];
    if (incarnation == known.incarnation && sequence <= known.sequence)
        return nullptr;
    if (incarnation != known.incarnation)
        known = {.incarnation = incarnation};
    known.sequence = sequence;
    m_sumsValidUntil = absl::InfinitePast();
    return &known;
}

void fleet_view::forgetSilentRouters(absl::Time now)
{
    absl::erase_if(m_received, [&](const auto &entry) {
        return now - entry.second.backlogsReceivedAt > maxSilence;
    });
}

void fleet_view::received_digests::setUsage(const std::vector<workspace_digest> &usage,
                                            const placement_digest &placements)
{
    workspaces.clear();
    for (const workspace_digest &entry : usage)
        workspaces[entry.workspace] = entry;
    placed = placements;
}

bool fleet_view::apply(const load_digest &digest, absl::Time now)
{
    forgetSilentRouters(now);
    received_digests *known = entryFor(digest.vm, digest.incarnation, digest.sequence);
    if (known == nullptr)
        return false;
    known->loadReceivedAt = now;
    known->backlogsReceivedAt = now;
    known->lastChangeRevisions = digest.lastChangeRevisions;
    known->backlogs.clear();
    known->inFlight.clear();
    for (const target_digest &entry : digest.targets) {
        known->backlogs[entry.target] = absl::Milliseconds(entry.backlogMs);
        known->inFlight[entry.target] = static_cast<int>(entry.inFlight);
    }
    known->setUsage(digest.workspaces, digest.placed);
    return true;
}

bool fleet_view::apply(const backlog_digest &digest, absl::Time now)
{
    received_digests *known = entryFor(digest.vm, digest.incarnation, digest.sequence);
    if (known == nullptr)
        return false;
    known->backlogsReceivedAt = now;
    known->backlogs.clear();
    for (const target_backlog &entry : digest.backlogs)
        known->backlogs[entry.target] = absl::Milliseconds(entry.backlogMs);
    known->setUsage(digest.workspaces, digest.placed);
    return true;
}

void fleet_view::sumLoads(absl::Time now) const
{
    m_sums.clear();
    m_sumsValidUntil = absl::InfiniteFuture();
    for (const auto &[vm, known] : m_received) {
        const absl::Time backlogsUntil = known.backlogsReceivedAt + m_backlogLifetime;
        const absl::Time loadUntil = known.loadReceivedAt + m_loadLifetime;
        if (now <= backlogsUntil) {
            m_sumsValidUntil = std::min(m_sumsValidUntil, backlogsUntil);
            for (const auto &[target, backlog] : known.backlogs)
                m_sums[target].backlog += backlog;
        }
        if (now <= loadUntil) {
            m_sumsValidUntil = std::min(m_sumsValidUntil, loadUntil);
            for (const auto &[target, inFlight] : known.inFlight)
                m_sums[target].inFlight += inFlight;
        }
    }
}

remote_load fleet_view::loadOf(name_hash target, absl::Time now) const
{
    if (now > m_sumsValidUntil)
        sumLoads(now);
    const auto found = m_sums.find(target);
    return found == m_sums.end() ? remote_load {} : found->second;
}

int fleet_view::inFlightBeyond(name_hash target, int perRouter, absl::Time now) const
{
    int sum = 0;
    for (const auto &[vm, known] : m_received) {
        const auto found = known.inFlight.find(target);
        if (found != known.inFlight.end() && isLoadCurrent(known, now))
            sum += std::max(found->second - perRouter, 0);
    }
    return sum;
}

bool fleet_view::areBacklogsCurrent(const received_digests &known, absl::Time now) const
{
    return now - known.backlogsReceivedAt <= m_backlogLifetime;
}

bool fleet_view::isLoadCurrent(const received_digests &known, absl::Time now) const
{
    return now - known.loadReceivedAt <= m_loadLifetime;
}

workspace_usage fleet_view::usageOf(name_hash workspace, absl::Time now) const
{
    workspace_usage sum;
    for (const auto &[vm, known] : m_received) {
        const auto found = known.workspaces.find(workspace);
        if (!areBacklogsCurrent(known, now) || found == known.workspaces.end())
            continue;
        sum.requestedTokens += found->second.requestedTokens;
        sum.servedTokens += found->second.servedTokens;
    }
    return sum;
}

placement_digest fleet_view::placed(absl::Time now) const
{
    placement_digest sum;
    for (const auto &[vm, known] : m_received) {
        if (!areBacklogsCurrent(known, now))
            continue;
        sum.tokens += known.placed.tokens;
        sum.workMs += known.placed.workMs;
    }
    return sum;
}

std::vector<name_hash> fleet_view::workspaces(absl::Time now) const
{
    absl::flat_hash_set<name_hash> names;
    for (const auto &[vm, known] : m_received) {
        if (!areBacklogsCurrent(known, now))
            continue;
        for (const auto &[workspace, entry] : known.workspaces)
            names.insert(workspace);
    }
    return {names.begin(), names.end()};
}

std::int64_t fleet_view::lastChangeRevision(std::size_t prefix, absl::Time now) const
{
    std::int64_t last = 0;
    for (const auto &[vm, known] : m_received) {
        if (isLoadCurrent(known, now) && prefix < known.lastChangeRevisions.size())
            last = std::max(last, known.lastChangeRevisions[prefix]);
    }
    return last;
}

std::size_t fleet_view::activePeerCount(absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_received.begin(), m_received.end(),
                      [&](const auto &entry) { return isLoadCurrent(entry.second, now); }));
}

} // namespace quetzal
