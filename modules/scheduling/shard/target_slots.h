#pragma once

#include "ownership/shards/shard_ownership.h"
#include "protocol/messages/message.h"
#include "targets/admission/target_admission.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzal {

/** The state of one target for the status page. */
struct target_status
{
    std::string target;
    target_phase phase = target_phase::Unknown;
    int limit = 0;
    int inUse = 0;

    bool operator==(const target_status &) const = default;
};

/** Options of target_slots. */
struct target_slots_options
{
    /**
     * Idle timeout of a target. One without a load report or complete answer for this long may
     * have restarted, so it is treated as cold.
     */
    absl::Duration targetIdleTimeout = absl::Milliseconds(1500);
    /**
     * How long a target is suspect after a ticket was released whose request may still run. In
     * this period the target's own count of running requests is used if it is higher than that of
     * the tickets.
     */
    absl::Duration suspectDuration = absl::Seconds(10);
};

/**
 * The targets of one shard: how many requests each can serve, and how many of its slots are in use
 * by tickets.
 */
class target_slots
{
public:
    explicit target_slots(target_slots_options options);

    /** Sets the slot limits of cold and warm targets. */
    void setLimits(int coldLimit, int warmLimit);
    /** Sets the targets to those in the VM list. */
    void setListings(const std::vector<target_listing> &listings, absl::Time now);
    /** Applies a load report of a target. */
    void observeLoad(const std::string &target, const target_load &load, absl::Time now);
    /** Applies the outcome of a ticket that was granted at grantedAt. */
    void observeOutcome(const protocol::ticket_outcome &outcome, absl::Time grantedAt,
                        absl::Time now);
    /** Adds to the number of slots that tickets use at a target; a negative count frees slots. */
    void adjustInUse(const std::string &target, int count);
    /**
     * Makes a target suspect for the suspect duration, because a ticket was released whose request
     * may still run.
     */
    void markSuspect(const std::string &target, absl::Time now);

    /**
     * Returns the targets with free slots, sorted by their number of free slots in descending
     * order.
     *
     * @param isComplete  false while tickets of former owners may be missing. A target's own count
     *                    of running requests is then used if it is higher than that of the tickets;
     *                    a target without a reported count has no free slots.
     */
    std::vector<target_listing> withFreeSlots(ownership_certainty certainty, bool isComplete,
                                              absl::Time now) const;
    /** Returns the state of all targets. */
    std::vector<target_status> status(absl::Time now) const;

private:
    struct target_state
    {
        target_admission admission;
        int inUse = 0;
        absl::Time suspectUntil = absl::InfinitePast();
        /** Time of the last load report or complete answer; infinite before the first one. */
        absl::Time lastActivity = absl::InfiniteFuture();
    };

    bool isUnresponsive(const target_state &target, absl::Time now) const;
    int freeSlots(const target_state &target, ownership_certainty certainty, bool isComplete,
                  absl::Time now) const;

    target_slots_options m_options;
    int m_coldLimit = 1;
    int m_warmLimit = 1;
    std::map<std::string, target_state> m_targets;
};

} // namespace quetzal
