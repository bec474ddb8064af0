#pragma once

#include "directory/target/target_record.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** What is known of one life of a target. */
struct target_state
{
    target_record record;
    /** Until when only a limited number of requests a second may be sent. */
    absl::Time coldUntil = absl::InfinitePast();
    /** When an entry that lapsed during an outage is given up. */
    absl::Time lapsesAt = absl::InfiniteFuture();
    /** True when another target answered at its address. */
    bool isReplaced = false;
    /** When a connection to it last failed. */
    absl::Time unreachableAt = absl::InfinitePast();

    bool operator==(const target_state &) const = default;
};

/**
 * The targets of all services, and which of them may receive work.
 *
 * A record that disappears while the list could not be read, or shortly after, may have lapsed
 * although its target lives: it is kept for a grace period after the list is back.
 */
class target_directory
{
public:
    /** How long lapsed entries are kept after the list can be read again. */
    static constexpr absl::Duration lapseGracePeriod = absl::Milliseconds(1900);
    /** How long the list must have been read since a target was unreachable to rule out a restart.
     */
    static constexpr absl::Duration restartDetectionTime = absl::Seconds(3);

    /** The list can't be read any more. */
    void onListUnavailable(absl::Time now);
    /** The list can be read again. */
    void onListAvailable(absl::Time now);
    /**
     * A record was written. coldStart: how long a new life of a target is cold when it appears
     * after the first listing; zero when it is not known to be new.
     */
    void apply(const target_record &record, absl::Duration coldStart, absl::Time now);
    /** The record of a target was removed, or can't be read any more. */
    void remove(const std::string &id, absl::Time now);
    /** Another target answered at this one's address. */
    void markReplaced(const std::string &id);
    /** The target was not reached, or a connection to it broke; it may be about to start again. */
    void markUnreachable(const std::string &id, absl::Time now);
    /** The target answers a request that it got at this time, so that it has run ever since. */
    void markAlive(const std::string &id, absl::Time since);
    /**
     * True when the target must be taken as cold: it says so, or it was unreachable and the list
     * has not been read for long enough since to show a new life.
     */
    bool isCold(const target_state &state, absl::Time now) const;
    /** The target itself says how long it is cold. */
    void extendCold(const std::string &id, absl::Time until);
    /** Replaces the set of data centres that receive no work. */
    void setEvacuated(const absl::flat_hash_set<std::string> &dataCentres,
                      const absl::flat_hash_map<std::string, absl::Duration> &coldStarts,
                      absl::Time now);

    /** The targets of a service that may receive work, in the order of their ids. */
    std::vector<const target_state *> usableTargets(const std::string &service,
                                                    absl::Time now) const;
    /** All targets of a service that are not about to stop, whatever their data centre. */
    std::size_t countListed(const std::string &service) const;
    /** The target of this id; null when there is none. */
    const target_state *find(const std::string &id) const;
    bool mayReceive(const std::string &id, absl::Time now) const;
    bool isEvacuated(const std::string &dataCentre) const;

private:
    bool mayReceive(const target_state &state, absl::Time now) const;
    /** Drops entries whose grace period is over. */
    void removeLapsed(absl::Time now);

    absl::btree_map<std::string, target_state> m_targets;
    absl::flat_hash_set<std::string> m_evacuated;
    bool m_isListUnavailable = false;
    absl::Time m_listAvailableSince = absl::InfinitePast();
};

} // namespace quetzal
