#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace quetzal {

/**
 * The data centres that receive no requests, from what the key-value service lists.
 *
 * When the service comes back from an older copy without an evacuation, the operators write it
 * again; until they can have done so, it is still in force.
 */
class evacuation_list
{
public:
    /** How long an evacuation that the service has lost stays in force. */
    static constexpr absl::Duration restoredGrace = absl::Seconds(3);

    /** Replaces what the service lists at a revision (see store_revision.h). */
    void apply(const absl::flat_hash_set<std::string> &listed, std::int64_t revision,
               absl::Time now);
    /** Returns the data centres that receive no requests. */
    absl::flat_hash_set<std::string> current(absl::Time now) const;

private:
    /** The end of each evacuation; the infinite future while it is listed. */
    absl::btree_map<std::string, absl::Time> m_ends;
    std::int64_t m_era = 0;
};

} // namespace quetzal
