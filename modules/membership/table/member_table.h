#pragma once

#include "directory/mirror/prefix_mirror.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** The record of one router. */
struct member
{
    std::string vm;
    /** The host at which the other routers reach it. */
    std::string host;
    /** The revision at which the record was last written. */
    std::int64_t revision = 0;

    bool operator==(const member &) const = default;
};

/**
 * The routers that share the limits of the fleet.
 *
 * A router is a member until its record has not been renewed for a long time during which this
 * router could read the records. So a VM that is lost for good is removed, but not one that is
 * partitioned for a while. Nor is one whose record the key-value service has lost because it came
 * back from an older copy: it is to write the record again.
 */
class member_table
{
public:
    /** The interval at which a router renews its record. */
    static constexpr absl::Duration renewalInterval = absl::Seconds(60);
    /** How long a record is valid without a renewal. */
    static constexpr absl::Duration lifetime = absl::Minutes(5);

    /**
     * Replaces the known records by those that the key-value service holds at a revision (see
     * store_revision.h).
     */
    void apply(const std::vector<member> &records, std::int64_t revision, absl::Time now);
    /** Resets the ages of all records, because they can be read again. */
    void onRecordsReadable(absl::Time now);

    /** Returns the members whose records are valid, in the order of their names. */
    std::vector<member> current(absl::Time now) const;
    /**
     * Returns the expired records, to be removed from the service if their revision is unchanged.
     */
    std::vector<member> expired(absl::Time now) const;
    /** True if the service holds the record of a router, as far as is known. */
    bool isStored(const std::string &vm) const;

private:
    struct entry
    {
        member record;
        absl::Time renewedAt;
        /** False if the service has lost the record. */
        bool isStored = true;
    };

    absl::btree_map<std::string, entry> m_entries;
};

} // namespace quetzal
