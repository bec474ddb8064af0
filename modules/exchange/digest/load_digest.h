#pragma once

#include "exchange/digest/quarantine_digest.h"
#include "placement/cache/prompt_cache_view.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace quetzal {

/** The stable hash of a name, which is sent in its place. */
using name_hash = std::uint64_t;

/** The outstanding work of one router at one target. */
struct target_digest
{
    name_hash target = 0;
    /** The work that the target has not begun to answer, in milliseconds. */
    std::int64_t backlogMs = 0;
    /** The number of requests that have not ended. */
    std::int64_t inFlight = 0;

    bool operator==(const target_digest &) const = default;
};

/**
 * The tokens that one workspace requested and received at one router within the window of the fair
 * shares.
 */
struct workspace_digest
{
    name_hash workspace = 0;
    std::int64_t requestedTokens = 0;
    std::int64_t servedTokens = 0;

    bool operator==(const workspace_digest &) const = default;
};

/** The model requests that one router placed within the window of the fair shares. */
struct placement_digest
{
    std::int64_t tokens = 0;
    /** The time for which they occupy targets before their answers begin, in milliseconds. */
    std::int64_t workMs = 0;

    bool operator==(const placement_digest &) const = default;
};

/** The shared parts of a prompt that was sent to a target. */
struct placed_prompt
{
    name_hash target = 0;
    std::vector<prompt_part> parts;

    bool operator==(const placed_prompt &) const = default;
};

/** The load of one router as sent to the others. */
struct load_digest
{
    /** The name of the sender. */
    std::string vm;
    /** Increases with each digest of either kind of one incarnation of the router. */
    std::uint64_t sequence = 0;
    /** Distinguishes runs of the router across restarts. */
    std::uint64_t incarnation = 0;
    /**
     * The revision of the last change known to the router, for each mirrored prefix of the store.
     */
    std::vector<std::int64_t> lastChangeRevisions;
    std::vector<target_digest> targets;
    std::vector<workspace_digest> workspaces;
    std::vector<placed_prompt> prompts;
    placement_digest placed;

    bool operator==(const load_digest &) const = default;
};

/** The work of one router that one target has not begun to answer. */
struct target_backlog
{
    name_hash target = 0;
    std::int64_t backlogMs = 0;

    bool operator==(const target_backlog &) const = default;
};

/**
 * What changes fast at one router, sent between its load digests. A target that is not listed has
 * no backlog there, a workspace that is not listed requested nothing.
 */
struct backlog_digest
{
    std::string vm;
    /** Increases with each digest of either kind. */
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    std::vector<target_backlog> backlogs;
    std::vector<workspace_digest> workspaces;
    placement_digest placed;

    bool operator==(const backlog_digest &) const = default;
};

/** A digest that a router sends to its peers. */
using peer_digest = std::variant<load_digest, backlog_digest, quarantine_digest>;

} // namespace quetzal
