#pragma once

#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/prefix_mirror.h"
#include "replication/follower/missed_change.h"
#include "replication/reader/reader_order.h"
#include "replication/update/mirror_update.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** What a follower does next to keep its replica current. */
struct follower_step
{
    enum class action
    {
        /** Reads the page of the listing that follows afterKey from the key-value service. */
        List,
        /** Waits at the key-value service for changes after the revision. */
        Watch,
        /** Requests another router's copy. */
        Copy,
        /** Makes no call, and waits for the updates of other routers. */
        Idle,
    };

    action kind = action::List;
    /** The last key of the previous page; empty for the first page. */
    std::string afterKey;
    /** The revision after which changes are requested. */
    std::int64_t revision = 0;
    /** How long the service waits for a change before it answers that there was none. */
    absl::Duration wait;
    /** The host of the router to request a copy from; empty for any. */
    std::string host;
    /** The delay before the call, or before the next step is to be determined again. */
    absl::Duration delay;

    bool operator==(const follower_step &) const = default;
};

/** Options of mirror_follower. */
struct follower_options
{
    std::string prefix;
    /** The position of the prefix in the list of mirrored prefixes. */
    std::size_t position = 0;
    /** The name of this router. */
    std::string self;
    absl::Time startedAt;
    /**
     * True for the prefix that tells the routers, so that the first listings of the others can be
     * spread by the order of readers.
     */
    bool listsAtOnce = false;
    /**
     * The age from which on the replica counts as not current. It must be below the shortest outage
     * of the service in which records of targets may expire.
     */
    absl::Duration maxAge = absl::Milliseconds(2100);
};

/**
 * Keeps a prefix_mirror up to date from the key-value service, which may be down, slow or
 * overloaded or may have discarded its history, and from other routers of the fleet.
 *
 * Decides when this router calls the service itself, when it requests another router's copy, and
 * when it relies on the updates of the router that reads the prefix for all (see reader_order).
 */
class mirror_follower
{
public:
    /** How long a watch waits for a change, and so the interval of updates without changes. */
    static constexpr absl::Duration watchTimeout = absl::Milliseconds(700);
    /** The wait of a watch that is to tell soon whether the service can be reached. */
    static constexpr absl::Duration shortWatchTimeout = absl::Milliseconds(20);
    /** The delay after a failed call, which grows with each further failure. */
    static constexpr absl::Duration initialRetryDelay = absl::Milliseconds(150);
    /** The maximum delay after failed calls of the routers that take over first. */
    static constexpr absl::Duration maxRetryDelay = absl::Milliseconds(600);
    /** The maximum delay after failed calls of any router. */
    static constexpr absl::Duration maxSharedRetryDelay = absl::Seconds(2);
    /** The delay after changes, so that changes in quick succession arrive in one call. */
    static constexpr absl::Duration batchDelay = absl::Milliseconds(120);
    /** How long a pending watch is kept that did not deliver a change that others know. */
    static constexpr absl::Duration maxWatchLag = absl::Milliseconds(300);
    /** How long a call for a listing is pending before another router's copy is requested. */
    static constexpr absl::Duration maxFirstListingTime = absl::Milliseconds(300);
    /** How long an update may take to arrive after its change was listed in a digest. */
    static constexpr absl::Duration maxUpdateLag = absl::Milliseconds(1200);
    /** The interval at which copies are requested from other routers. */
    static constexpr absl::Duration copyInterval = absl::Milliseconds(100);
    /** The maximum age of the first copy, while a more recent one can still be expected. */
    static constexpr absl::Duration maxFirstCopyAge = absl::Seconds(2);

    explicit mirror_follower(follower_options options);

    /** Replaces the routers of the fleet. */
    void setRouters(const std::vector<std::string> &members);

    /** Returns what to do next. @param hasPeers true if another router is known */
    follower_step next(absl::Time now, bool hasPeers) const;
    /**
     * True if a pending watch should be aborted, because it has not delivered a change that another
     * router knows. A watch that began after this router was told is left to its timeout.
     */
    bool isWatchBehind(absl::Time calledAt, absl::Time now) const;
    /**
     * True if a pending call for a listing should be aborted once, so that another router's copy
     * can be requested: the service may be silent, and this router has no replica yet.
     */
    bool isFirstListingSlow(absl::Time calledAt, absl::Time now, bool hasPeers) const;

    /**
     * Adds a page of the listing; the last page returns the changes that the listing caused. A page
     * that does not continue the listing is ignored: another router's update may have made the
     * listing needless while the page was being read.
     * @param afterKey the key after which the page begins, as in follower_step
     */
    std::vector<key_change> onListing(const listing_page &page, const std::string &afterKey,
                                      absl::Time now);
    /**
     * Applies the changes of a watch, possibly none; returns those that were not known. If the
     * service is behind the replica, the replica is listed again and replaced.
     * @param watchedFrom the revision after which the watch requested changes
     */
    std::vector<key_change> onChanges(const change_page &page, std::int64_t watchedFrom,
                                      absl::Time now);
    /** Must be called when the service has discarded the history after the revision. */
    void onHistoryLost(absl::Time now);
    /** Must be called when a call to the service fails, is refused or times out. */
    void onFailure(absl::Time now);

    /**
     * Applies another router's copy; returns the changes it caused. A first copy that is not recent
     * is kept for applyOldCopy().
     */
    std::vector<key_change> onCopy(const mirror_copy &copy, absl::Time now);
    /**
     * Applies the best copy that was not recent, if none that is recent was found for some time
     * after the start; returns the changes it caused. Must be called periodically.
     */
    std::vector<key_change> applyOldCopy(absl::Time now);
    /** Must be called when another router had no copy that is newer than the replica. */
    void onCopyFailed(absl::Time now);
    /**
     * Applies another router's update; returns the changes that were not known.
     * @param host the host of the sender
     */
    std::vector<key_change> onUpdate(const mirror_update &update, const std::string &host,
                                     absl::Time now);
    /** Compares the replica with the revision of a change that another router knows. */
    void onPeerRevision(std::int64_t revision, absl::Time now);

    /** Returns the update to send to the other routers after an answer of the service, once. */
    std::optional<mirror_update> takeUpdate();
    /** Returns the copy to give to another router; nothing if it is not newer than a revision. */
    std::optional<mirror_copy> copyAfter(std::int64_t revision, absl::Time now) const;

    /** Returns the position of the prefix in the list of mirrored prefixes. */
    std::size_t position() const { return m_options.position; }
    const prefix_mirror &mirror() const { return m_mirror; }
    /** True if this router is the one that reads the prefix for all, or takes over from it. */
    bool isReader(absl::Time now) const;
    /**
     * True if the replica was recently confirmed by the service, here or at another router, and
     * this router has not waited long for a change that others know.
     */
    bool isCurrent(absl::Time now) const;
    /** Returns the change that other routers have and this one has not, if it knows of one. */
    const std::optional<missed_change> &missed() const { return m_missed; }
    /** Returns when the service last confirmed the replica. */
    absl::Time confirmedAt() const { return m_confirmedAt; }

private:
    /** Returns when the keys are listed if no other router gave a copy until then. */
    absl::Time firstListingAt() const;
    /** Returns the step before there is a replica; nothing once the service is to be called. */
    std::optional<follower_step> firstCopyStep(absl::Time now, bool hasPeers) const;
    /** Returns the request for a missed update; nothing once the service is to be called. */
    std::optional<follower_step> missedUpdateStep(absl::Time now) const;
    follower_step listStep(absl::Time now) const;
    follower_step watchStep(absl::Time now) const;
    /** Returns the delay after failed calls; the rate of all routers together is bounded. */
    absl::Duration retryDelay() const;
    /** Returns the delay that spreads the requests of all routers for the same copy. */
    absl::Duration copySpread() const;
    void onStoreAnswer(absl::Time now);
    /** True if the service was restored from an older copy since it gave this revision. */
    bool isOfEarlierEra(std::int64_t revision) const;
    /** Returns the last key that was listed; empty before the first page. */
    std::string lastListedKey() const;
    /** Abandons the listing in progress, because the replica is complete without it. */
    void dropListing();
    void onMissed(std::int64_t revision, const std::string &host, absl::Time now);
    /** Ends the missed change if the replica has it by now. */
    void endMissed();
    std::vector<key_change> applyCopy(const mirror_copy &copy, absl::Time now);
    /** Records until when the replica is known to be current. */
    void confirm(std::int64_t revision, absl::Time asOf);

    follower_options m_options;
    reader_order m_order;
    prefix_mirror m_mirror;
    /** A number by which the delays of the routers differ. */
    double m_spread = 0.0;

    bool m_isListing = true;
    std::vector<stored_item> m_listed;
    std::optional<std::int64_t> m_listedRevision;
    absl::Time m_listedAt = absl::InfinitePast();
    /** The revision of the replica when the history was lost. */
    std::int64_t m_revisionOfLoss = 0;
    /** True if the replica is ahead of the service, so that it holds what the service never had. */
    bool m_isMistaken = false;

    int m_failures = 0;
    /** When the last call to the service ended, with an answer or without. */
    absl::Time m_storeAnsweredAt = absl::InfinitePast();
    bool m_hadChanges = false;
    /** True after the first listing, until others may know that this router has a replica. */
    bool m_isAnnouncementDue = false;
    /** True once another router's copy was requested after a failed call. */
    bool m_hadCopyTurn = false;
    /** True after a failed call, until another router was asked for its copy. */
    bool m_isCopyTurn = false;
    absl::Time m_lastCopyAt = absl::InfinitePast();
    /** A host whose router has a replica, while this one has none; empty if none is known. */
    std::string m_copyHost;
    bool m_isCopyExpected = false;
    /** The first copy with the highest revision of those that were not recent. */
    std::optional<mirror_copy> m_oldCopy;
    absl::Time m_oldCopyAt = absl::InfinitePast();
    bool m_areRoutersKnown = false;

    absl::Time m_confirmedAt = absl::InfinitePast();
    /** When a router that precedes this one last sent an update. */
    absl::Time m_readerHeardAt = absl::InfinitePast();
    std::optional<missed_change> m_missed;
    /** Since when other routers know a change that this one does not. */
    absl::Time m_behindSince = absl::InfiniteFuture();
    std::optional<mirror_update> m_outgoing;
};

} // namespace quetzal
