#pragma once

#include "exchange/digest/load_digest.h"
#include "exchange/interval/digest_interval.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** The load of all other routers at one target. */
struct remote_load
{
    absl::Duration backlog;
    int inFlight = 0;

    bool operator==(const remote_load &) const = default;
};

/** The tokens that a workspace requested and received within a window. */
struct workspace_usage
{
    std::int64_t requestedTokens = 0;
    std::int64_t servedTokens = 0;

    bool operator==(const workspace_usage &) const = default;
};

/** The load reported by the other routers: keeps the last digests of each. */
class fleet_view
{
public:
    /** Sets the number of other routers, from which the lifetime of their digests follows. */
    void setPeerCount(std::size_t peers);

    /** Stores a digest; false if it is out of order or a duplicate. */
    bool apply(const load_digest &digest, absl::Time now);
    bool apply(const backlog_digest &digest, absl::Time now);

    /**
     * Returns the load of the other routers at a target. A backlog is held until the next digest of
     * its router: until then the router adds about as much as the target processes, and the target
     * processes the work of all routers, not only of one.
     */
    remote_load loadOf(name_hash target, absl::Time now) const;
    /** Returns the sum of the requests beyond a number that each other router has at a target. */
    int inFlightBeyond(name_hash target, int perRouter, absl::Time now) const;
    /** Returns the tokens that a workspace requested and received at the other routers. */
    workspace_usage usageOf(name_hash workspace, absl::Time now) const;
    /** Returns the sum of what the other routers placed. */
    placement_digest placed(absl::Time now) const;
    /** Returns the workspaces that the other routers reported. */
    std::vector<name_hash> workspaces(absl::Time now) const;
    /**
     * Returns the highest revision known to any other router of a change of a prefix, which is
     * given by its zero-based position; 0 if none is known.
     */
    std::int64_t lastChangeRevision(std::size_t prefix, absl::Time now) const;
    /** Returns the number of routers whose load digest is not stale. */
    std::size_t activePeerCount(absl::Time now) const;

private:
    struct received_digests
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        absl::Time loadReceivedAt = absl::InfinitePast();
        absl::Time backlogsReceivedAt = absl::InfinitePast();
        std::vector<std::int64_t> lastChangeRevisions;
        absl::flat_hash_map<name_hash, absl::Duration> backlogs;
        absl::flat_hash_map<name_hash, int> inFlight;
        absl::flat_hash_map<name_hash, workspace_digest> workspaces;
        placement_digest placed;

        /** Replaces what the workspaces requested and received, and what was placed. */
        void setUsage(const std::vector<workspace_digest> &usage,
                      const placement_digest &placements);
    };

    /** Removes the digests of routers that are gone. */
    void forgetSilentRouters(absl::Time now);
    /** Returns the entry of a digest's sender; null if the digest is out of order. */
    received_digests *entryFor(const std::string &vm, std::uint64_t incarnation,
                               std::uint64_t sequence);
    /** True if the part that digests of either kind bring is not stale. */
    bool areBacklogsCurrent(const received_digests &known, absl::Time now) const;
    bool isLoadCurrent(const received_digests &known, absl::Time now) const;
    /** Sums the loads of all routers by target, and sets until when the sums are valid. */
    void sumLoads(absl::Time now) const;

    /** For how long digests are used after they were received. */
    absl::Duration m_loadLifetime = digestLifetime(digestInterval(0));
    absl::Duration m_backlogLifetime = digestLifetime(backlogInterval(0));
    absl::flat_hash_map<std::string, received_digests> m_received;
    /** The cached sums of all routers by target; invalid after m_sumsValidUntil. */
    mutable absl::flat_hash_map<name_hash, remote_load> m_sums;
    mutable absl::Time m_sumsValidUntil = absl::InfinitePast();
};

} // namespace quetzal
