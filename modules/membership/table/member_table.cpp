#include "membership/table/member_table.h"

#include "directory/mirror/store_revision.h"

#include <utility>

namespace quetzal {

void member_table::apply(const std::vector<member> &records, std::int64_t revision, absl::Time now)
{
    absl::btree_map<std::string, entry> next;
    for (const member &record : records) {
        const auto known = m_entries.find(record.vm);
        const bool isRenewed
            = known == m_entries.end() || known->second.record.revision != record.revision;
        next[record.vm]
            = {.record = record, .renewedAt = isRenewed ? now : known->second.renewedAt};
    }
    for (auto &[vm, known] : m_entries) {
        known.isStored = false;
        const bool isLost = eraOf(known.record.revision) < eraOf(revision);
        if (isLost && now - known.renewedAt < lifetime)
            next.try_emplace(vm, std::move(known));
    }
    m_entries = std::move(next);
}

void member_table::onRecordsReadable(absl::Time now)
{
    for (auto &[vm, known] : m_entries)
        known.renewedAt = now;
}

std::vector<member> member_table::current(absl::Time now) const
{
    std::vector<member> members;
    for (const auto &[vm, known] : m_entries) {
        if (now - known.renewedAt < lifetime)
            members.push_back(known.record);
    }
    return members;
}

bool member_table::isStored(const std::string &vm) const
{
    const auto found = m_entries.find(vm);
    return found != m_entries.end() && found->second.isStored;
}

std::vector<member> member_table::expired(absl::Time now) const
{
    std::vector<member> members;
    for (const auto &[vm, known] : m_entries) {
        if (known.isStored && now - known.renewedAt >= lifetime)
            members.push_back(known.record);
    }
    return members;
}

} // namespace quetzal
