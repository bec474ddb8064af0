#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** One key of the key-value service as it was read. */
struct stored_item
{
    std::string key;
    std::string value;
    /** The service's revision at which the key was last written. */
    std::int64_t revision = 0;

    bool operator==(const stored_item &) const = default;
};

/** A change of one key; no value means that it was removed. */
struct key_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;

    bool operator==(const key_change &) const = default;
};

/**
 * A copy of all keys below one prefix, from listings and changes that may arrive late, out of order
 * or from several sources.
 *
 * Each key only moves to higher revisions. A listing removes a key only when it is newer than what
 * is known of it.
 */
class prefix_mirror
{
public:
    explicit prefix_mirror(std::string prefix);

    /** Applies changes up to a revision, and returns those that were news. */
    std::vector<key_change> applyChanges(const std::vector<key_change> &changes, std::int64_t at);
    /** Applies a full listing taken at a revision or later, and returns what was news. */
    std::vector<key_change> applyListing(const std::vector<stored_item> &items, std::int64_t at);

    const std::string &prefix() const { return m_prefix; }
    /** The revision up to which everything is known; 0 before the first listing. */
    std::int64_t revision() const { return m_revision; }
    /** The highest revision of a change below the prefix that is known. */
    std::int64_t lastChangeRevision() const { return m_lastChangeRevision; }
    /** True once a listing was applied. */
    bool isComplete() const { return m_complete; }
    /** All items in the order of their keys. */
    std::vector<stored_item> items() const;

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
    };

    bool isNewer(const std::string &key, std::int64_t revision) const;

    std::string m_prefix;
    absl::btree_map<std::string, entry> m_entries;
    /** Revisions at which keys were removed, as far as they are above the known revision. */
    absl::btree_map<std::string, std::int64_t> m_removed;
    std::int64_t m_revision = 0;
    std::int64_t m_lastChangeRevision = 0;
    bool m_complete = false;
};

} // namespace quetzal
