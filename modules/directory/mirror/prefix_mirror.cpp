#include "directory/mirror/prefix_mirror.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace quetzal {

prefix_mirror::prefix_mirror(std::string prefix)
    : m_prefix(std::move(prefix))
{
}

bool prefix_mirror::isNewer(const std::string &key, std::int64_t revision) const
{
    if (const auto found = m_entries.find(key); found != m_entries.end())
        return revision > found->second.revision;
    if (const auto removed = m_removed.find(key); removed != m_removed.end())
        return revision > removed->second;
    return !m_complete || revision > m_revision;
}

bool prefix_mirror::applyChange(const key_change &change, std::int64_t revision)
{
    const bool known = m_entries.contains(change.key);
    m_lastChangeRevision = std::max(m_lastChangeRevision, std::min(change.revision, revision));
    m_unchangedSince = std::max(m_unchangedSince, m_lastChangeRevision);
    if (change.value) {
        m_removed.erase(change.key);
        m_entries[change.key] = {.value = *change.value, .revision = change.revision};
    } else {
        m_entries.erase(change.key);
        m_removed[change.key] = change.revision;
    }
    return change.value || known;
}

void prefix_mirror::advanceTo(std::int64_t revision)
{
    m_revision = std::max(m_revision, revision);
    if (m_complete)
        absl::erase_if(m_removed, [&](const auto &entry) { return entry.second <= m_revision; });
}

std::vector<key_change> prefix_mirror::applyChanges(const std::vector<key_change> &changes,
                                                    std::int64_t revision)
{
    std::vector<key_change> appliedChanges;
    for (const key_change &change : changes) {
        if (!change.key.starts_with(m_prefix) || !isNewer(change.key, change.revision))
            continue;
        if (applyChange(change, revision))
            appliedChanges.push_back(change);
    }
    advanceTo(revision);
    return appliedChanges;
}

std::vector<key_change> prefix_mirror::applyListing(const std::vector<stored_item> &items,
                                                    std::int64_t revision,
                                                    std::optional<std::int64_t> unchangedSince)
{
    const bool isRecent = !m_complete || revision >= m_revision;
    std::vector<key_change> changes;
    absl::flat_hash_set<std::string> listed;
    for (const stored_item &item : items) {
        listed.insert(item.key);
        // A recent listing is complete itself, so that it may hold a key that was missed.
        const bool isMissing = isRecent && !m_entries.contains(item.key)
            && !m_removed.contains(item.key) && item.key.starts_with(m_prefix);
        if (isMissing || isNewer(item.key, item.revision))
            changes.push_back({.key = item.key, .value = item.value, .revision = item.revision});
    }
    for (const auto &[key, known] : m_entries) {
        if (isRecent && !listed.contains(key) && known.revision <= revision)
            changes.push_back({.key = key, .value = std::nullopt, .revision = revision});
    }
    std::vector<key_change> appliedChanges;
    for (const key_change &change : changes) {
        if (change.key.starts_with(m_prefix) && applyChange(change, revision))
            appliedChanges.push_back(change);
    }
    if (isRecent)
        m_unchangedSince = std::max(m_unchangedSince, unchangedSince.value_or(revision));
    m_complete = true;
    advanceTo(revision);
    return appliedChanges;
}

std::vector<key_change> prefix_mirror::replaceBy(const std::vector<stored_item> &items,
                                                 std::int64_t revision)
{
    prefix_mirror next(m_prefix);
    std::vector<key_change> changes;
    for (const key_change &change : next.applyListing(items, revision)) {
        const auto known = m_entries.find(change.key);
        if (known == m_entries.end() || known->second.value != change.value
            || known->second.revision != change.revision)
            changes.push_back(change);
    }
    for (const auto &[key, known] : m_entries) {
        if (!next.m_entries.contains(key))
            changes.push_back({.key = key, .value = std::nullopt, .revision = revision});
    }
    *this = std::move(next);
    return changes;
}

std::vector<stored_item> prefix_mirror::items() const
{
    std::vector<stored_item> all;
    for (const auto &[key, known] : m_entries)
        all.push_back({.key = key, .value = known.value, .revision = known.revision});
    return all;
}

} // namespace quetzal
