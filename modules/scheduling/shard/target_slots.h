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

/** State of one target for the status page. */
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
    /** A target that gave no sign for this long may have restarted: it counts as cold. */
    absl::Duration targetIdleTimeout = absl::Milliseconds(1500);
    /** How long a target's own count is trusted over the tickets after a doubtful release. */
    absl::Duration suspectDuration = absl::Seconds(10);
};

/** The targets of one shard: what each bears, and how many of its slots tickets occupy. */
class target_slots
{
public:
    explicit target_slots(target_slots_options options);

    /** Limits of a target just after its start and when warm. */
    void setLimits(int coldLimit, int warmLimit);
    /** The targets by the VM list. */
    void setListings(const std::vector<target_listing> &listings, absl::Time now);
    void observeLoad(const std::string &target, const target_load &load, absl::Time now);
    /** A ticket ended; grantedAt is when it was granted. */
    void observeOutcome(const protocol::ticket_outcome &outcome, absl::Time grantedAt,
                        absl::Time now);
    /** A ticket begins (1) or ends (-1) to occupy a slot. */
    void adjustInUse(const std::string &target, int count);
    /** A ticket was released without knowing whether its request still runs. */
    void markSuspect(const std::string &target, absl::Time now);

    /**
     * Targets with a free slot, the one with the most first.
     *
     * While the tickets of former owners are not complete, a target's own count is taken when it
     * is higher than the tickets'.
     */
    std::vector<target_listing> withFreeSlots(ownership_certainty certainty, bool isComplete,
                                              absl::Time now) const;
    std::vector<target_status> status(absl::Time now) const;

private:
    struct target_state
    {
        target_admission admission;
        int inUse = 0;
        absl::Time suspectUntil = absl::InfinitePast();
        /** Last load report or answer; infinite before the first report. */
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
