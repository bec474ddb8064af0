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
    return true;
}

std::vector<key_change> prefix_mirror::applyChanges(const std::vector<key_change> &changes,
                                                    std::int64_t revision)
{
    std::vector<key_change> appliedChanges;
    for (const key_change &change : changes) {
        if (!change.key.starts_with(m_prefix) || !isNewer(change.key, change.revision))
            continue;
        const bool known = m_entries.contains(change.key);
        m_lastChangeRevision = std::max(m_lastChangeRevision, std::min(change.revision, revision));
        if (change.value) {
            m_removed.erase(change.key);
            m_entries[change.key] = {.value = *change.value, .revision = change.revision};
        } else {
            m_entries.erase(change.key);
            m_removed[change.key] = change.revision;
        }
        if (change.value || known)
            appliedChanges.push_back(change);
    }
    m_revision = std::max(m_revision, revision);
    return appliedChanges;
}

std::vector<key_change> prefix_mirror::applyListing(const std::vector<stored_item> &items,
                                                    std::int64_t revision)
{
    std::vector<key_change> changes;
    absl::flat_hash_set<std::string> listed;
    for (const stored_item &item : items) {
        listed.insert(item.key);
        const bool wasRemovedSince = revision < m_revision && item.revision <= m_revision
            && !m_entries.contains(item.key) && m_complete;
        if (!wasRemovedSince)
            changes.push_back({.key = item.key, .value = item.value, .revision = item.revision});
    }
    for (const auto &[key, known] : m_entries) {
        if (!listed.contains(key) && known.revision <= revision && revision >= m_revision)
            changes.push_back({.key = key, .value = std::nullopt, .revision = revision + 1});
    }
    std::vector<key_change> appliedChanges = applyChanges(changes, revision);
    for (const key_change &change : appliedChanges) {
        if (!change.value)
            m_removed[change.key] = revision;
    }
    m_complete = true;
    return appliedChanges;
}

std::vector<stored_item> prefix_mirror::items() const
{
    std::vector<stored_item> all;
    for (const auto &[key, known] : m_entries)
        all.push_back({.key = key, .value = known.value, .revision = known.revision});
    return all;
}

} // namespace quetzal
