#include "quarantine/archive/part_archive.h"

#include <utility>

namespace quetzal {

namespace {

/** True if the record tells what the routers know; times differ by the clocks of the writers. */
bool tellsSame(const held_part &record, const held_part &known)
{
    return record.trials == known.trials && record.ends.size() == known.ends.size();
}

} // namespace

void part_archive::onRecord(const held_part &record, std::int64_t revision)
{
    m_records[record.part] = {.content = record, .revision = revision};
}

void part_archive::onRecordRemoved(part_id part)
{
    m_records.erase(part);
}

std::optional<archive_write> part_archive::writeFor(const held_part &wanted) const
{
    const auto record = m_records.find(wanted.part);
    if (record == m_records.end()) {
        if (m_records.size() >= maxRecords)
            return std::nullopt;
        return archive_write {.part = wanted};
    }
    if (tellsSame(record->second.content, wanted))
        return std::nullopt;
    return archive_write {.part = wanted, .expectedRevision = record->second.revision};
}

void part_archive::updateDifferences(std::span<const held_part> wanted, absl::Time now)
{
    absl::btree_map<part_id, record_difference> next;
    const auto add = [&](const archive_write &write, absl::Time dueAt) {
        const auto known = m_differences.find(write.part.part);
        const bool isKnown
            = known != m_differences.end() && known->second.write.isRemoval == write.isRemoval;
        next[write.part.part] = {.write = write, .since = isKnown ? known->second.since : dueAt};
    };
    absl::btree_map<part_id, stored_record> unwanted = m_records;
    for (const held_part &part : wanted) {
        unwanted.erase(part.part);
        if (const auto write = writeFor(part))
            add(*write, now);
    }
    for (const auto &[part, record] : unwanted)
        add({.part = record.content, .isRemoval = true, .expectedRevision = record.revision},
            now + removalDelay);
    m_differences = std::move(next);
}

} // namespace quetzal
