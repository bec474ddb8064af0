#pragma once

#include "exchange/digest/load_digest.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** The work of all other routers at one target. */
struct remote_load
{
    absl::Duration backlog;
    int inFlight = 0;

    bool operator==(const remote_load &) const = default;
};

/** Tokens that a workspace asked for and got within a window. */
struct workspace_usage
{
    std::int64_t requestedTokens = 0;
    std::int64_t servedTokens = 0;

    bool operator==(const workspace_usage &) const = default;
};

/** What the other routers last told. */
class fleet_view
{
public:
    /** How long a digest is used. */
    static constexpr absl::Duration lifetime = absl::Milliseconds(1500);

    /** False when the digest is older than one that is known. */
    bool apply(const load_digest &digest, absl::Time now);

    /** The work of the others at a target; a backlog shrinks with the age of its digest. */
    remote_load at(name_hash target, absl::Time now) const;
    /** What the others' callers of a workspace asked for and got. */
    workspace_usage usageOf(name_hash workspace, absl::Time now) const;
    /** The workspaces that the others named. */
    std::vector<name_hash> workspaces(absl::Time now) const;
    /** The last change of a prefix that any other router knows; prefixes count from 0. */
    std::int64_t lastChangeRevision(std::size_t prefix, absl::Time now) const;
    /** Routers whose digest is in use. */
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
