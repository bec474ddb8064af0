#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <span>
#include <vector>

namespace quetzal {

/**
 * The ends of targets, the prompt parts that were in work there, and when each part was last seen
 * to be sound. Of bounded size: the oldest ends are dropped first.
 */
class loss_table
{
public:
    static constexpr std::size_t maxEnds = 512;
    static constexpr std::size_t maxPartsPerEnd = 128;
    static constexpr std::size_t maxSoundParts = 8192;

    /** Adds the parts to the end of this target; false if that tells nothing new. */
    bool add(const target_loss &loss);
    /** Drops the ends of a target that turned out to be still running; repeats are ignored. */
    void discard(const target_incarnation &target);
    /** Records that a target wrote an answer on a part, which began at this time. */
    void markSound(part_id part, absl::Time at);
    /** Returns when the last known answer on a part began; the infinite past if none is known. */
    absl::Time soundAt(part_id part) const;

    /**
     * Returns the ends under the part in the order of time.
     * @param withExplained false to leave out those that another held part explains
     */
    std::vector<target_end> endsOf(part_id part, bool withExplained) const;
    /** Returns the parts that were in work when a target ended. */
    std::vector<part_id> partsOf(const target_incarnation &target) const;
    /** Sets the held parts, which explain the ends of the targets that had requests with them. */
    void setHeld(absl::flat_hash_set<part_id> held);
    /** Returns the ends within [from, to], without those that were discarded. */
    std::vector<target_end> endsBetween(absl::Time from, absl::Time to) const;
    /** Returns the parts under which several targets ended, in no order. */
    std::vector<part_id> partsOfSeveralEnds() const;
    std::size_t size() const { return m_losses.size(); }

private:
    struct recorded_loss
    {
        target_end end;
        absl::flat_hash_set<part_id> parts;
        bool isDiscarded = false;
        bool isExplained = false;
    };

    void explain(recorded_loss &loss) const;
    void dropOldest();
    void unlink(const target_incarnation &target);

    absl::flat_hash_map<target_incarnation, recorded_loss> m_losses;
    absl::flat_hash_map<part_id, std::vector<target_incarnation>> m_targetsOfPart;
    absl::flat_hash_map<part_id, absl::Time> m_soundAt;
    absl::flat_hash_set<part_id> m_held;
};

} // namespace quetzal
