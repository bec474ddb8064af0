#include "directory/target/target_notices.h"

#include <algorithm>

namespace quetzal {

target_notices::notice &target_notices::noticeOf(const std::string &id, std::int64_t startedAtMs,
                                                 absl::Time now)
{
    absl::erase_if(m_notices,
                   [&](const auto &entry) { return now - entry.second.receivedAt > lifetime; });
    notice &entry = m_notices[id];
    if (entry.startedAtMs != startedAtMs)
        entry = {.startedAtMs = startedAtMs};
    entry.receivedAt = now;
    return entry;
}

void target_notices::onLeaving(const std::string &id, std::int64_t startedAtMs, absl::Time now)
{
    noticeOf(id, startedAtMs, now).refusesUntil = absl::InfiniteFuture();
}

void target_notices::onRefusing(const std::string &id, std::int64_t startedAtMs, absl::Time until,
                                absl::Time now)
{
    notice &entry = noticeOf(id, startedAtMs, now);
    entry.refusesUntil = std::max(entry.refusesUntil, until);
}

absl::Time target_notices::refusesUntil(const target_record &record) const
{
    const notice *known = find(record);
    return known == nullptr ? absl::InfinitePast() : known->refusesUntil;
}

void target_notices::onRemoved(const std::string &id, std::int64_t startedAtMs, absl::Time now)
{
    noticeOf(id, startedAtMs, now).isRemoved = true;
}

bool target_notices::wasRemoved(const target_record &record) const
{
    const notice *known = find(record);
    return known != nullptr && known->isRemoved;
}

const target_notices::notice *target_notices::find(const target_record &record) const
{
    const auto found = m_notices.find(record.id);
    if (found == m_notices.end() || found->second.startedAtMs != record.startedAtMs)
        return nullptr;
    return &found->second;
}

} // namespace quetzal
