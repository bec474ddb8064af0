#pragma once

#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/prefix_mirror.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** What a follower does next. */
struct follower_step
{
    enum class action
    {
        /** Read a page of the listing that follows afterKey. */
        List,
        /** Wait for changes after the revision. */
        Watch,
    };

    action kind = action::List;
    std::string afterKey;
    std::int64_t revision = 0;
    /** True for the first watch after a listing, changes or a failure. */
    bool isFirstWatch = false;
    /** How long to wait before the call. */
    absl::Duration delay;

    bool operator==(const follower_step &) const = default;
};

/**
 * Keeps a prefix_mirror up to date with a key-value service that may be down, slow, busy, or have
 * forgotten its history.
 */
class mirror_follower
{
public:
    /** The first pause after a failed call, and the longest. */
    static constexpr absl::Duration initialRetryDelay = absl::Milliseconds(150);
    static constexpr absl::Duration maxRetryDelay = absl::Milliseconds(600);

    /** How long a change that another router knows may take to arrive here. */
    static constexpr absl::Duration maxWatchLag = absl::Milliseconds(300);

    /** The pause after changes, so that those that follow at once come together. */
    static constexpr absl::Duration batchDelay = absl::Milliseconds(120);

    explicit mirror_follower(std::string prefix);

    follower_step next() const;
    /** A page of the listing arrived; returns what was news. */
    std::vector<key_change> onListing(const listing_page &page, absl::Time now);
    /** Changes arrived, or the wait ended without one; returns what was news. */
    std::vector<key_change> onChanges(const change_page &page, absl::Time now);
    /** The service no longer has the history after the revision. */
    void onHistoryLost();
    /** The call failed, was refused, or got no answer in time. */
    void onFailure(absl::Time now);
    /**
     * Another router knows of a change at this revision. True when a watch that is under way should
     * be given up, because it did not tell of the change in time.
     */
    bool isWatchBehind(std::int64_t revision, absl::Time now);
    /** A full listing came from another source. */
    std::vector<key_change> onPeerListing(const std::vector<stored_item> &items, std::int64_t at);

    const prefix_mirror &mirror() const { return m_mirror; }
    /** True while the last call succeeded. */
    bool isReachable() const { return m_failures == 0 && m_lastSuccess != absl::InfinitePast(); }
    /** When the service last answered. */
    absl::Time lastSuccess() const { return m_lastSuccess; }

private:
    void onSuccess(absl::Time now);

    prefix_mirror m_mirror;
    bool m_isListing = true;
    std::vector<stored_item> m_listed;
    std::int64_t m_listedAt = 0;
    int m_failures = 0;
    bool m_hadChanges = false;
    bool m_isFirstWatch = true;
    absl::Time m_lastSuccess = absl::InfinitePast();
    absl::Time m_behindSince = absl::InfiniteFuture();
};

} // namespace quetzal
