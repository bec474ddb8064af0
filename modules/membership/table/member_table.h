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
    /** Where the other routers reach it. */
    std::string host;
    /** The revision at which the record was last written. */
    std::int64_t revision = 0;

    bool operator==(const member &) const = default;
};

/**
 * The routers that share the fleet's limits.
 *
 * A record counts until it has not been renewed for a long time during which this router could read
 * the records: a VM that is gone for good is forgotten then, one that is cut off for a while is
 * not.
 */
class member_table
{
public:
    /** How often a router renews its record. */
    static constexpr absl::Duration renewalInterval = absl::Seconds(60);
    /** How long a record counts without a renewal. */
    static constexpr absl::Duration lifetime = absl::Minutes(5);

    /** Replaces what is known by the records that stand in the service. */
    void apply(const std::vector<member> &records, absl::Time now);
    /** The records can be read again: their ages begin anew. */
    void onRecordsReadable(absl::Time now);

    /** The routers that count, in the order of their names. */
    std::vector<member> current(absl::Time now) const;
    /** Records that no longer count, to be removed if they still have their revision. */
    std::vector<member> expired(absl::Time now) const;

private:
    struct entry
    {
        member record;
        absl::Time renewedAt;
    };

    absl::btree_map<std::string, entry> m_entries;
};

} // namespace quetzal
