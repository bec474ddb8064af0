#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace quetzal::bench {

/** How one kind of model engine performs. */
struct engine_parameters
{
    /** Requests in a batch, and requests that may wait. */
    int slots = 64;
    int queue = 134;
    /** The time of one step: fixed, and for each running request, and for the tokens they hold. */
    absl::Duration step = absl::Microseconds(5950);
    absl::Duration stepPerRequest = absl::Microseconds(20);
    absl::Duration stepPerThousandTokens = absl::Microseconds(10);
    /** Reading of prompts; a step reads at most one chunk. */
    double promptTokensPerMs = 50.7;
    std::int64_t chunkTokens = 2048;
    int tokensPerEvent = 3;
    /** Tokens of running requests and kept prompt parts. */
    std::int64_t memoryTokens = 498633;

    bool operator==(const engine_parameters &) const = default;
};

/** How one kind of plain service performs. */
struct plain_parameters
{
    int slots = 6;
    int queue = 24;

    bool operator==(const plain_parameters &) const = default;
};

/** What one kind of target bears while it is cold. */
struct cold_parameters
{
    absl::Duration coldStart = absl::Seconds(3);
    double requestsPerSecond = 8.0;

    bool operator==(const cold_parameters &) const = default;
};

} // namespace quetzal::bench
