#pragma once

#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/prefix_mirror.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** The next call that a follower makes to the key-value service. */
struct follower_step
{
    enum class action
    {
        /** Reads the page of the listing that follows afterKey. */
        List,
        /** Waits for changes after the revision. */
        Watch,
    };

    action kind = action::List;
    /** The last key of the previous page; empty for the first page. */
    std::string afterKey;
    /** The revision after which changes are requested. */
    std::int64_t revision = 0;
    /** True for the first watch after a listing, changes or a failure. */
    bool isFirstWatch = false;
    /** The delay before the call. */
    absl::Duration delay;

    bool operator==(const follower_step &) const = default;
};

/**
 * Keeps a prefix_mirror up to date with a key-value service that may be down, slow or overloaded,
 * or may have discarded its history.
 */
class mirror_follower
{
public:
    /** The delay after a failed call, which grows with each further failure. */
    static constexpr absl::Duration initialRetryDelay = absl::Milliseconds(150);
    /** The maximum delay after failed calls. */
    static constexpr absl::Duration maxRetryDelay = absl::Milliseconds(600);

    /** How long a change that another router knows may take to arrive by the watch. */
    static constexpr absl::Duration maxWatchLag = absl::Milliseconds(300);

    /** The delay after changes, so that changes in quick succession arrive in one call. */
    static constexpr absl::Duration batchDelay = absl::Milliseconds(120);

    /** Creates a follower of all keys below the prefix. */
    explicit mirror_follower(std::string prefix);

    /** Returns the next call to make. */
    follower_step next() const;
    /** Adds a page of the listing; the last page returns the changes that the listing caused. */
    std::vector<key_change> onListing(const listing_page &page, absl::Time now);
    /** Applies the changes of a watch, possibly none; returns those that were not known. */
    std::vector<key_change> onChanges(const change_page &page, absl::Time now);
    /** Must be called when the service has discarded the history after the revision. */
    void onHistoryLost();
    /** Must be called when a call fails, is refused or times out. */
    void onFailure(absl::Time now);
    /**
     * Compares the replica with the revision of a change that another router knows. True if the
     * pending watch should be aborted, because it has not delivered the change in time.
     */
    bool isWatchBehind(std::int64_t revision, absl::Time now);
    /** Applies a full listing from another source, and returns the changes it caused. */
    std::vector<key_change> onPeerListing(const std::vector<stored_item> &items,
                                          std::int64_t revision);

    const prefix_mirror &mirror() const { return m_mirror; }
    /** True if the last call succeeded. */
    bool isReachable() const { return m_failures == 0 && m_lastSuccess != absl::InfinitePast(); }
    /** Returns when a call last succeeded. */
    absl::Time lastSuccess() const { return m_lastSuccess; }

private:
    void onSuccess(absl::Time now);

    prefix_mirror m_mirror;
    bool m_isListing = true;
    std::vector<stored_item> m_listed;
    std::int64_t m_listedRevision = 0;
    int m_failures = 0;
    bool m_hadChanges = false;
    bool m_isFirstWatch = true;
    absl::Time m_lastSuccess = absl::InfinitePast();
    absl::Time m_behindSince = absl::InfiniteFuture();
};

} // namespace quetzal
