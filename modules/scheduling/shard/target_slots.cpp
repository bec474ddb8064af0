#include "scheduling/shard/target_slots.h"

#include <algorithm>
#include <utility>

namespace quetzal {

namespace {

target_evidence evidenceOf(const protocol::ticket_outcome &outcome)
{
    switch (outcome.signal) {
    case protocol::target_signal::Leaving:
        return target_evidence::Draining;
    case protocol::target_signal::ConnectionRefused:
        return target_evidence::Refused;
    case protocol::target_signal::ConnectionReset:
        return target_evidence::Reset;
    case protocol::target_signal::Overloaded:
        return target_evidence::Overloaded;
    case protocol::target_signal::Silent:
        return target_evidence::Unanswered;
    case protocol::target_signal::None:
        return target_evidence::Answered;
    }
    return target_evidence::Answered;
}

bool carriesEvidence(const protocol::ticket_outcome &outcome)
{
    return outcome.ending == protocol::ticket_end::AnsweredWhole
        || outcome.signal != protocol::target_signal::None || !outcome.targetInstance.empty();
}

} // namespace

target_slots::target_slots(target_slots_options options)
    : m_options(options)
{
}

void target_slots::setLimits(int coldLimit, int warmLimit)
{
    m_coldLimit = coldLimit;
    m_warmLimit = warmLimit;
    for (auto &[name, target] : m_targets)
        target.admission.setLimits(coldLimit, warmLimit);
}

void target_slots::setListings(const std::vector<target_listing> &listings, absl::Time now)
{
    const target_admission_options limits {.warmLimit = m_warmLimit, .coldLimit = m_coldLimit};
    std::set<std::string> listed;
    for (const target_listing &listing : listings) {
        listed.insert(listing.target);
        const auto [found, added] = m_targets.try_emplace(
            listing.target, target_state {target_admission(listing, limits, now)});
        if (!added)
            found->second.admission.observeListing(listing, now);
    }
    for (auto &[name, target] : m_targets) {
        if (!listed.contains(name))
            target.admission.observeUnlisted(now);
    }
    std::erase_if(m_targets, [&listed](const auto &item) {
        return !listed.contains(item.first) && item.second.inUse == 0;
    });
}

void target_slots::observeLoad(const std::string &target, const target_load &load, absl::Time now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    if (isUnresponsive(found->second, now))
        found->second.admission.observeEvidence(target_evidence::Reset, "", now);
    found->second.lastActivity = now;
    found->second.admission.observeLoad(load, now);
}

void target_slots::observeOutcome(const protocol::ticket_outcome &outcome, absl::Time grantedAt,
                                  absl::Time now)
{
    const auto found = m_targets.find(outcome.target);
    if (found == m_targets.end() || !carriesEvidence(outcome))
        return;
    found->second.admission.observe({.evidence = evidenceOf(outcome),
                                     .instance = outcome.targetInstance,
                                     .startedAt = grantedAt,
                                     .running = found->second.inUse},
                                    now);
    if (outcome.ending == protocol::ticket_end::AnsweredWhole)
        found->second.lastActivity = now;
}

void target_slots::adjustInUse(const std::string &target, int count)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.inUse = std::max(0, found->second.inUse + count);
}

void target_slots::markSuspect(const std::string &target, absl::Time now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.suspectUntil = now + m_options.suspectDuration;
}

std::vector<target_listing> target_slots::withFreeSlots(ownership_certainty certainty,
                                                        bool isComplete, absl::Time now) const
{
    std::vector<std::pair<int, const target_listing *>> found;
    for (const auto &[name, target] : m_targets) {
        const int slots = freeSlots(target, certainty, isComplete, now);
        if (slots > 0)
            found.emplace_back(slots, &target.admission.listing());
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<target_listing> listings;
    for (const auto &[slots, listing] : found)
        listings.push_back(*listing);
    return listings;
}

std::vector<target_status> target_slots::status(absl::Time now) const
{
    std::vector<target_status> result;
    for (const auto &[name, target] : m_targets)
        result.push_back({.target = name,
                          .phase = target.admission.phase(now),
                          .limit = target.admission.limit(now),
                          .inUse = target.inUse});
    return result;
}

bool target_slots::isUnresponsive(const target_state &target, absl::Time now) const
{
    return now - target.lastActivity > m_options.targetIdleTimeout;
}

int target_slots::freeSlots(const target_state &target, ownership_certainty certainty,
                            bool isComplete, absl::Time now) const
{
    int limit = target.admission.limit(now);
    if (isUnresponsive(target, now))
        limit = std::min(limit, m_coldLimit);
    if (target.admission.isCold(now))
        limit = coldShare(certainty, limit);
    const bool isSuspect = now < target.suspectUntil || !isComplete;
    if (!isSuspect)
        return limit - target.inUse;
    const int reported = target.admission.reportedRunning(now);
    const int assumed = reported < 0 ? limit : reported;
    return limit - std::max(target.inUse, assumed);
}

} // namespace quetzal
