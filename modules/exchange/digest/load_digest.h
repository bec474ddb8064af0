#pragma once

#include "placement/cache/prompt_cache_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal {

/** Names are sent as their stable hashes. */
using name_hash = std::uint64_t;

/** The work that one router has at one target. */
struct target_digest
{
    name_hash target = 0;
    /** Work that waits there, in milliseconds. */
    std::int64_t backlogMs = 0;
    /** Requests that are not over. */
    std::int64_t inFlight = 0;

    bool operator==(const target_digest &) const = default;
};

/** What one workspace asked of one router, and got, within the window of fair shares. */
struct workspace_digest
{
    name_hash workspace = 0;
    std::int64_t requestedTokens = 0;
    std::int64_t servedTokens = 0;

    bool operator==(const workspace_digest &) const = default;
};

/** The shared parts of a prompt that was sent to a target. */
struct placed_prompt
{
    name_hash target = 0;
    std::vector<prompt_part> parts;

    bool operator==(const placed_prompt &) const = default;
};

/** What one router tells the others about its work. */
struct load_digest
{
    std::string vm;
    /** Grows with each digest of one life of the router. */
    std::uint64_t sequence = 0;
    /** Tells lives of the router apart. */
    std::uint64_t incarnation = 0;
    /** The last change that the router knows of each prefix of the store that all routers follow.
     */
    std::vector<std::int64_t> lastChangeRevisions;
    std::vector<target_digest> targets;
    std::vector<workspace_digest> workspaces;
    std::vector<placed_prompt> prompts;

    bool operator==(const load_digest &) const = default;
};

} // namespace quetzal
