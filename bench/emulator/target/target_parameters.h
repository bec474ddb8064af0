#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal::bench {

/** Performance of one kind of model engine. */
struct engine_parameters
{
    /** Maximum number of requests in a batch. */
    int slots = 64;
    /** Maximum number of queued requests. */
    int queue = 134;
    /**
     * Duration of one step: a fixed part, a part for each running request, and a part for the
     * tokens that the running requests hold.
     */
    absl::Duration step = absl::Microseconds(5950);
    absl::Duration stepPerRequest = absl::Microseconds(20);
    absl::Duration stepPerThousandTokens = absl::Microseconds(10);
    /** Speed of prompt processing. */
    double promptTokensPerMs = 50.7;
    /** Prompt tokens that one step processes at most. */
    std::int64_t chunkTokens = 2048;
    int tokensPerEvent = 3;
    /** Capacity in tokens for running requests and cached prompt parts. */
    std::int64_t memoryTokens = 498633;

    bool operator==(const engine_parameters &) const = default;
};

/** Performance of one kind of plain service. */
struct plain_parameters
{
    int slots = 6;
    int queue = 24;

    bool operator==(const plain_parameters &) const = default;
};

/** How long one kind of target is cold after its start, and which rate it can serve meanwhile. */
struct cold_parameters
{
    absl::Duration coldStart = absl::Seconds(3);
    double requestsPerSecond = 8.0;

    bool operator==(const cold_parameters &) const = default;
};

} // namespace quetzal::bench
