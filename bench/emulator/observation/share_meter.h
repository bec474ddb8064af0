#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzal::bench {

/** A workspace that received too little while it waited and another one was served. */
struct share_violation
{
    std::size_t workspace = 0;
    /** The start of the span in which it was kept short. */
    absl::Time from;
    std::int64_t requestedTokens = 0;
    std::int64_t servedTokens = 0;
    /** The workspace that received most, and what it received. */
    std::size_t best = 0;
    std::int64_t bestServedTokens = 0;

    bool operator==(const share_violation &) const = default;
};

/** How near a workspace that waited all through a span came to being kept short. */
struct share_margin
{
    std::size_t workspace = 0;
    /** The start of the span. */
    absl::Time from;
    /** What it received over the least that it had to receive; below 1 it was kept short. */
    double ratio = 0.0;

    bool operator==(const share_margin &) const = default;
};

/**
 * Measures how the tokens of model requests are shared between workspaces, second by second.
 *
 * A workspace is kept short if within a span of seconds it waits in each of them, and receives less
 * than half of what it requested or the best served workspace received, whichever is less, even
 * with its largest requests added. A workspace waits while a request of it is refused, or is not
 * answered within its latency objective.
 */
class share_meter
{
public:
    /** The number of seconds in which a workspace must wait without a break. */
    static constexpr std::int64_t spanSeconds = 6;
    /** The number of requests of the largest size by which a workspace may fall short. */
    static constexpr std::int64_t toleratedRequests = 3;

    /** Must be called when a caller sends an attempt of a model request. */
    void onRequested(const std::string &requestId, std::size_t workspace, std::int64_t tokens,
                     absl::Time now);
    /** Must be called when a target starts to execute a request; only the first start counts. */
    void onExecutionStarted(const std::string &requestId, absl::Time now);
    /** Must be called when an attempt is rejected without having run. */
    void onRefused(std::size_t workspace, absl::Time now);
    /** Must be called for a request that waited for its answer beyond its latency objective. */
    void onLate(std::size_t workspace, absl::Time objectiveAt, absl::Time answeredAt);

    /** Returns the violations in all spans between two times. */
    std::vector<share_violation> violations(absl::Time from, absl::Time to) const;
    /** Returns the lowest margin of each workspace between two times, the lowest one first. */
    std::vector<share_margin> margins(absl::Time from, absl::Time to) const;

private:
    /** Tokens by second since the Unix epoch. */
    using token_series = absl::btree_map<std::int64_t, std::int64_t>;

    struct workspace_series
    {
        token_series requested;
        token_series served;
        absl::btree_set<std::int64_t> waitingSeconds;
        std::int64_t largestRequest = 0;
    };
    struct open_request
    {
        std::size_t workspace = 0;
        std::int64_t tokens = 0;
    };

    /** The tokens of one workspace within one span. */
    struct span_usage
    {
        std::int64_t requestedTokens = 0;
        std::int64_t servedTokens = 0;
        /** The least tokens that keep it from being short. */
        std::int64_t minimumTokens = 0;
    };

    /** Returns the workspace that received most within the span that starts at a second. */
    const std::pair<const std::size_t, workspace_series> &bestServed(std::int64_t first) const;
    static span_usage usageOf(const workspace_series &series, const workspace_series &best,
                              std::int64_t first);
    static std::int64_t sumOf(const token_series &series, std::int64_t firstSecond);
    bool isWaiting(const workspace_series &series, std::int64_t firstSecond) const;

    absl::btree_map<std::size_t, workspace_series> m_workspaces;
    absl::flat_hash_map<std::string, open_request> m_notStarted;
};

/** Returns the violation in words, for the output of a test. */
std::string toText(const share_violation &violation);

} // namespace quetzal::bench
