#include "directory/evacuation/evacuation_list.h"

#include "directory/mirror/store_revision.h"

#include <algorithm>
#include <utility>

namespace quetzal {

void evacuation_list::apply(const absl::flat_hash_set<std::string> &listed, std::int64_t revision,
                            absl::Time now)
{
    const bool isRestored = eraOf(revision) > std::exchange(m_era, eraOf(revision));
    for (auto &[dataCentre, end] : m_ends) {
        const bool isUnlisted = end == absl::InfiniteFuture() && !listed.contains(dataCentre);
        if (isUnlisted)
            end = isRestored ? now + restoredGrace : now;
    }
    for (const std::string &dataCentre : listed)
        m_ends[dataCentre] = absl::InfiniteFuture();
    absl::erase_if(m_ends, [&](const auto &entry) { return entry.second <= now; });
}

absl::flat_hash_set<std::string> evacuation_list::current(absl::Time now) const
{
    absl::flat_hash_set<std::string> inForce;
    for (const auto &[dataCentre, end] : m_ends) {
        if (now < end)
            inForce.insert(dataCentre);
    }
    return inForce;
}

} // namespace quetzal
