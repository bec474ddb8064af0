#include "directory/target/target_directory.h"

#include <algorithm>
#include <iterator>

namespace quetzal {

void target_directory::onListUnavailable(absl::Time)
{
    m_isListUnavailable = true;
}

void target_directory::onListAvailable(absl::Time now)
{
    if (!m_isListUnavailable)
        return;
    m_isListUnavailable = false;
    m_listAvailableSince = now;
}

void target_directory::onListRestored(absl::Time now)
{
    m_isListUnavailable = false;
    m_listAvailableSince = now;
    m_restoredAt = now;
}

void target_directory::apply(const target_record &record, absl::Duration coldStart, absl::Time now)
{
    const auto found = m_targets.find(record.id);
    const bool isOlderStart
        = found != m_targets.end() && record.startedAtMs < found->second.record.startedAtMs;
    if (isOlderStart && mayBeRestored(now)) {
        found->second.lapsesAt = m_restoredAt + lapseGracePeriod;
        return;
    }
    if (record.isDraining)
        m_notices.onLeaving(record.id, record.startedAtMs, now);
    else if (m_notices.wasRemoved(record) && mayBeRestored(now))
        m_notices.onRefusing(record.id, record.startedAtMs, now + m_recordRemovalTime, now);
    const bool isNewIncarnation
        = found == m_targets.end() || found->second.record.startedAtMs != record.startedAtMs;
    target_state next {.record = record};
    if (!isNewIncarnation) {
        next = found->second;
        if (next.record.address != record.address)
            next.isReplaced = false;
        next.record = record;
        next.lapsesAt = absl::InfiniteFuture();
    }
    const absl::Duration cold
        = isNewIncarnation ? std::max(record.coldDuration, coldStart) : record.coldDuration;
    if (cold > absl::ZeroDuration())
        next.coldUntil = std::max(next.coldUntil, now + cold);
    m_targets[record.id] = next;
}

void target_directory::removeLapsed(absl::Time now)
{
    for (auto entry = m_targets.begin(); entry != m_targets.end();) {
        const bool isOver = entry->second.lapsesAt < now;
        entry = isOver ? m_targets.erase(entry) : std::next(entry);
    }
}

void target_directory::remove(const std::string &id, absl::Time now)
{
    removeLapsed(now);
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    const absl::Time graceEnd = m_listAvailableSince + lapseGracePeriod;
    const bool mayHaveLapsed = m_isListUnavailable || now < graceEnd;
    if (!mayHaveLapsed || found->second.record.isDraining) {
        m_notices.onRemoved(id, found->second.record.startedAtMs, now);
        m_targets.erase(found);
        return;
    }
    found->second.lapsesAt = m_isListUnavailable ? now + lapseGracePeriod : graceEnd;
}

void target_directory::drop(const std::string &id)
{
    m_targets.erase(id);
}

void target_directory::markReplaced(const std::string &id)
{
    if (const auto found = m_targets.find(id); found != m_targets.end())
        found->second.isReplaced = true;
}

void target_directory::markLeaving(const std::string &id, std::int64_t startedAtMs, absl::Time now)
{
    m_notices.onLeaving(id, startedAtMs, now);
}

void target_directory::markRefusing(const std::string &id, std::int64_t startedAtMs,
                                    absl::Time until, absl::Time now)
{
    m_notices.onRefusing(id, startedAtMs, until, now);
}

std::optional<absl::Time> target_directory::nextAvailableAt(const std::string &service,
                                                            absl::Time now) const
{
    absl::Time earliest = absl::InfiniteFuture();
    for (const auto &[id, state] : m_targets) {
        if (state.record.service == service && isListedForUse(state, now))
            earliest = std::min(earliest, m_notices.refusesUntil(state.record));
    }
    if (earliest == absl::InfiniteFuture())
        return std::nullopt;
    return earliest;
}

void target_directory::markUnreachable(const std::string &id, absl::Time now)
{
    if (const auto found = m_targets.find(id); found != m_targets.end())
        found->second.unreachableAt = now;
}

void target_directory::markAlive(const std::string &id, absl::Time since)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && since < found->second.unreachableAt)
        found->second.unreachableAt = absl::InfinitePast();
}

bool target_directory::isCold(const target_state &state, absl::Time now) const
{
    if (now < state.coldUntil)
        return true;
    if (state.unreachableAt == absl::InfinitePast())
        return false;
    const absl::Time listReadSince = std::max(state.unreachableAt, m_listAvailableSince);
    return m_isListUnavailable || m_listConfirmedAt < listReadSince + m_recordRemovalTime;
}

void target_directory::extendCold(const std::string &id, absl::Time until)
{
    if (const auto found = m_targets.find(id); found != m_targets.end())
        found->second.coldUntil = std::max(found->second.coldUntil, until);
}

void target_directory::setEvacuated(
    const absl::flat_hash_set<std::string> &dataCentres,
    const absl::flat_hash_map<std::string, absl::Duration> &coldStarts, absl::Time now)
{
    for (auto &[id, state] : m_targets) {
        const bool isRestored = m_evacuated.contains(state.record.dataCentre)
            && !dataCentres.contains(state.record.dataCentre);
        const auto cold = coldStarts.find(state.record.service);
        if (isRestored && cold != coldStarts.end())
            state.coldUntil = std::max(state.coldUntil, now + cold->second);
    }
    m_evacuated = dataCentres;
}

bool target_directory::mayReceive(const target_state &state, absl::Time now) const
{
    return isListedForUse(state, now) && m_notices.refusesUntil(state.record) <= now;
}

bool target_directory::isListedForUse(const target_state &state, absl::Time now) const
{
    return !state.record.isDraining && !state.isReplaced && now < state.lapsesAt
        && !m_evacuated.contains(state.record.dataCentre);
}

bool target_directory::isStillListed(const std::string &id, std::int64_t startedAtMs,
                                     absl::Time endedAt, absl::Duration removalTime,
                                     absl::Time now) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.record.startedAtMs != startedAtMs
        || found->second.lapsesAt != absl::InfiniteFuture())
        return false;
    // Records do not expire while the list is unavailable.
    const bool wasAvailable = !m_isListUnavailable && now >= m_listAvailableSince + removalTime;
    return wasAvailable && m_listConfirmedAt >= endedAt + removalTime;
}

std::vector<const target_state *> target_directory::usableTargets(const std::string &service,
                                                                  absl::Time now) const
{
    std::vector<const target_state *> found;
    for (const auto &[id, state] : m_targets) {
        if (state.record.service == service && mayReceive(state, now))
            found.push_back(&state);
    }
    return found;
}

std::size_t target_directory::countListed(const std::string &service) const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
            return entry.second.record.service == service && !entry.second.record.isDraining;
        }));
}

const target_state *target_directory::find(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

bool target_directory::mayReceive(const std::string &id, absl::Time now) const
{
    const target_state *state = find(id);
    return state != nullptr && mayReceive(*state, now);
}

bool target_directory::isEvacuated(const std::string &dataCentre) const
{
    return m_evacuated.contains(dataCentre);
}

} // namespace quetzal
