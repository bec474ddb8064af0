#pragma once

#include "exchange/digest/load_digest.h"

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

/** The load reported by the other routers: keeps the last digest of each. */
class fleet_view
{
public:
    /** The time after which a digest is stale and ignored. */
    static constexpr absl::Duration lifetime = absl::Milliseconds(1500);

    /** Stores a digest; false if it is out of order or a duplicate. */
    bool apply(const load_digest &digest, absl::Time now);

    /**
     * Returns the load of the other routers at a target; backlogs decrease with the age of the
     * digest.
     */
    remote_load loadOf(name_hash target, absl::Time now) const;
    /** Returns the tokens that a workspace requested and received at the other routers. */
    workspace_usage usageOf(name_hash workspace, absl::Time now) const;
    /** Returns the workspaces that the other routers reported. */
    std::vector<name_hash> workspaces(absl::Time now) const;
    /**
     * Returns the highest revision known to any other router of a change of a prefix, which is
     * given by its zero-based position; 0 if none is known.
     */
    std::int64_t lastChangeRevision(std::size_t prefix, absl::Time now) const;
    /** Returns the number of routers whose digest is not stale. */
    std::size_t activePeerCount(absl::Time now) const;

private:
    struct received_digest
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        absl::Time receivedAt;
        std::vector<std::int64_t> lastChangeRevisions;
        absl::flat_hash_map<name_hash, target_digest> targets;
        absl::flat_hash_map<name_hash, workspace_digest> workspaces;
    };

    absl::flat_hash_map<std::string, received_digest> m_received;
};

} // namespace quetzal
