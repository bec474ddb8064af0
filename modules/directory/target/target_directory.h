#pragma once

#include "directory/target/target_notices.h"
#include "directory/target/target_record.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** The state of one incarnation of a target. */
struct target_state
{
    target_record record;
    /** The time until which only a limited rate of requests may be sent. */
    absl::Time coldUntil = absl::InfinitePast();
    /** The time at which an entry whose record disappeared during or after an outage expires. */
    absl::Time lapsesAt = absl::InfiniteFuture();
    /** True if a different target answered at the address. */
    bool isReplaced = false;
    /** When a connection to the target last failed; the infinite past once it answered since. */
    absl::Time unreachableAt = absl::InfinitePast();

    bool operator==(const target_state &) const = default;
};

/**
 * Holds the targets of all services, and decides which of them may receive requests.
 *
 * A record that disappears while the list is unavailable, or shortly after, may have expired only
 * because its target could not renew it. Its entry is kept for a grace period after the list is
 * available again.
 */
class target_directory
{
public:
    /** How long lapsed entries are kept after the list is available again. */
    static constexpr absl::Duration lapseGracePeriod = absl::Milliseconds(1900);

    /**
     * @param recordRemovalTime the time within which it is known that the record of a target that
     * ended has expired. A target that was unreachable may have restarted until the list was
     * available for that long and still holds the record.
     */
    explicit target_directory(absl::Duration recordRemovalTime = absl::Seconds(5))
        : m_recordRemovalTime(recordRemovalTime)
    {
    }

    /** Must be called when the list can no longer be read. */
    void onListUnavailable(absl::Time now);
    /** Must be called when the list can be read again. */
    void onListAvailable(absl::Time now);
    /**
     * Must be called before the list is applied that was restored from an older copy. For a moment
     * it is taken for an outage, and what the list had told of a target before goes first: an older
     * start is ignored, and a target that was removed has to stay listed to receive requests again.
     */
    void onListRestored(absl::Time now);
    /** Must be called with the time up to which the list is known to be complete. */
    void onListConfirmed(absl::Time asOf) { m_listConfirmedAt = asOf; }
    /**
     * Adds or updates a target. coldStart is the minimum time for which a new incarnation is cold;
     * zero for targets of the first listing, which are not known to be new.
     */
    void apply(const target_record &record, absl::Duration coldStart, absl::Time now);
    /** Removes a target whose record disappeared, at once or after a grace period. */
    void remove(const std::string &id, absl::Time now);
    /** Removes a target whose record was overwritten by one that names no target, at once. */
    void drop(const std::string &id);
    /** Excludes a target at whose address another one answered, until it moves or restarts. */
    void markReplaced(const std::string &id);
    /** Excludes this incarnation of a target, which said in an answer that it leaves. */
    void markLeaving(const std::string &id, std::int64_t startedAtMs, absl::Time now);
    /** Excludes this incarnation of a target until a time that it named in a refusal. */
    void markRefusing(const std::string &id, std::int64_t startedAtMs, absl::Time until,
                      absl::Time now);
    /**
     * Returns the earliest time at which a target of the service takes requests again that is
     * excluded only until then; nothing if there is none.
     */
    std::optional<absl::Time> nextAvailableAt(const std::string &service, absl::Time now) const;
    /**
     * Records that the target was unreachable or a connection broke, so that it may be restarting.
     */
    void markUnreachable(const std::string &id, absl::Time now);
    /**
     * Records an answer to a request sent at this time: the target has not restarted since then.
     */
    void markAlive(const std::string &id, absl::Time since);
    /**
     * True if the target must be treated as cold: its cold period has not ended, or it was
     * unreachable and the list is not known to be complete for long enough since then to show a
     * restart.
     */
    bool isCold(const target_state &state, absl::Time now) const;
    /** Extends the cold period of a target, as reported by the target itself. */
    void extendCold(const std::string &id, absl::Time until);
    /**
     * Replaces the set of data centres that receive no requests. Targets of a data centre that
     * leaves the set are cold for the time given for their service.
     */
    void setEvacuated(const absl::flat_hash_set<std::string> &dataCentres,
                      const absl::flat_hash_map<std::string, absl::Duration> &coldStarts,
                      absl::Time now);

    /** Returns the targets of a service that may receive requests, in the order of their ids. */
    std::vector<const target_state *> usableTargets(const std::string &service,
                                                    absl::Time now) const;
    /** Returns the number of targets of a service that are not draining, in all data centres. */
    std::size_t countListed(const std::string &service) const;
    /** Returns the target of this id; null if there is none. */
    const target_state *find(const std::string &id) const;
    /**
     * True if this incarnation of a target is listed although its record would have been removed if
     * it had ended at a time; false as long as that is not known.
     * @param removalTime how long after its end the record of a target is removed at the latest
     */
    bool isStillListed(const std::string &id, std::int64_t startedAtMs, absl::Time endedAt,
                       absl::Duration removalTime, absl::Time now) const;
    /** True if the target exists and may receive requests. */
    bool mayReceive(const std::string &id, absl::Time now) const;
    /** True if the data centre receives no requests. */
    bool isEvacuated(const std::string &dataCentre) const;

private:
    bool mayReceive(const target_state &state, absl::Time now) const;
    /** True if the record may only be back because the list was restored from an older copy. */
    bool mayBeRestored(absl::Time now) const { return now < m_restoredAt + lapseGracePeriod; }
    /** True if nothing but the target's own notice speaks against sending it requests. */
    bool isListedForUse(const target_state &state, absl::Time now) const;
    /** Removes entries whose grace period has ended. */
    void removeLapsed(absl::Time now);

    absl::Duration m_recordRemovalTime;
    absl::btree_map<std::string, target_state> m_targets;
    target_notices m_notices;
    absl::flat_hash_set<std::string> m_evacuated;
    bool m_isListUnavailable = false;
    absl::Time m_listAvailableSince = absl::InfinitePast();
    absl::Time m_restoredAt = absl::InfinitePast();
    absl::Time m_listConfirmedAt = absl::InfinitePast();
};

} // namespace quetzal
