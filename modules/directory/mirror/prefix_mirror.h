#pragma once

#include <absl/container/btree_map.h>

#include <cstddef>
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
    /** The revision of the service at which the key was last written. */
    std::int64_t revision = 0;

    bool operator==(const stored_item &) const = default;
};

/** A change of one key; the value is empty if the key was removed. */
struct key_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;

    bool operator==(const key_change &) const = default;
};

/**
 * A replica of all keys below one prefix, from listings and changes that may arrive late, out of
 * order or from several sources.
 *
 * Each key only moves to higher revisions. A listing removes a key only if the listing is newer
 * than the known revision of the key.
 */
class prefix_mirror
{
public:
    explicit prefix_mirror(std::string prefix);

    /** Applies changes up to a revision, and returns those that were not known. */
    std::vector<key_change> applyChanges(const std::vector<key_change> &changes,
                                         std::int64_t revision);
    /**
     * Applies a full listing taken at a revision or later, and returns the changes it caused.
     * @param unchangedSince the lowest revision from which on the prefix is known not to have
     * changed up to the revision of the listing; that revision itself if it is not known
     */
    std::vector<key_change> applyListing(const std::vector<stored_item> &items,
                                         std::int64_t revision,
                                         std::optional<std::int64_t> unchangedSince = std::nullopt);

    /**
     * Replaces the contents by those of a full listing, even if its revision is lower, and returns
     * the changes. For replicas that turned out to hold what the service never had.
     */
    std::vector<key_change> replaceBy(const std::vector<stored_item> &items, std::int64_t revision);

    const std::string &prefix() const { return m_prefix; }
    /** Returns the revision up to which all changes are known; 0 before the first listing. */
    std::int64_t revision() const { return m_revision; }
    /** Returns the highest known revision of a change below the prefix. */
    std::int64_t lastChangeRevision() const { return m_lastChangeRevision; }
    /**
     * Returns the lowest revision from which on, up to revision(), the prefix is known not to have
     * changed. It may exceed lastChangeRevision(), since a listing does not tell of removals.
     */
    std::int64_t unchangedSince() const { return m_unchangedSince; }
    /** Returns the number of removed keys that are remembered. */
    std::size_t rememberedRemovals() const { return m_removed.size(); }
    /** True once a full listing was applied. */
    bool isComplete() const { return m_complete; }
    /** Returns all items in the order of their keys. */
    std::vector<stored_item> items() const;

private:
    struct entry
    {
        std::string value;
        std::int64_t revision = 0;
    };

    /** True if the revision is newer than the last known write or removal of the key. */
    bool isNewer(const std::string &key, std::int64_t revision) const;
    /** Applies a change that is newer than what is known; true if it changed the contents. */
    bool applyChange(const key_change &change, std::int64_t revision);
    void advanceTo(std::int64_t revision);

    std::string m_prefix;
    absl::btree_map<std::string, entry> m_entries;
    /**
     * The revisions of removals beyond revision(), so that late messages do not restore the keys.
     * Up to revision(), a key without an entry is known to be removed.
     */
    absl::btree_map<std::string, std::int64_t> m_removed;
    std::int64_t m_revision = 0;
    std::int64_t m_lastChangeRevision = 0;
    std::int64_t m_unchangedSince = 0;
    bool m_complete = false;
};

} // namespace quetzal
