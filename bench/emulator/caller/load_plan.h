#pragma once

#include "forwarding/route/route_table.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** A log-normal size. */
struct size_distribution
{
    double mean = 0.0;
    /** Standard deviation of the logarithm. */
    double logStdDev = 0.0;
    double max = 1e9;

    bool operator==(const size_distribution &) const = default;
};

/** A part of prompts that requests share. */
struct shared_prompt_part
{
    size_distribution tokens;
    /** How many different ones there are, and how uneven their use is (0: all alike). */
    int variantCount = 1;
    double skew = 0.0;

    bool operator==(const shared_prompt_part &) const = default;
};

/** One kind of requests. */
struct class_plan
{
    std::string name;
    request_kind kind = request_kind::Stream;
    bool isResumable = false;
    std::string service;
    double perSecond = 1.0;
    absl::Duration latencyObjective = absl::Milliseconds(600);
    absl::Duration deadline = absl::Seconds(8);
    /** The longest pause between events of an answer in time. */
    absl::Duration maxEventGap = absl::Milliseconds(400);
    double worth = 1.0;
    double lateWorth = 0.5;
    /** Targets on which one attempt may run. */
    int attempts = 1;
    /** How often a caller comes back. */
    int retries = 1;
    std::vector<shared_prompt_part> sharedParts;
    size_distribution ownTokens;
    size_distribution outputTokens;
    size_distribution workMs;
    /** The part of the requests that every target fails. */
    double alwaysFailingFraction = 0.0;

    bool isModelRequest() const { return !sharedParts.empty(); }
    /** The name of its route, its path is the name between slashes. */
    route toRoute() const;
};

/** Some of the load for a while. */
struct load_change
{
    absl::Duration at;
    absl::Duration duration;
    double factor = 1.0;
    /** One workspace, counted from 0; -1 for all. */
    int workspace = -1;
};

/** What callers send. */
struct load_plan
{
    std::vector<class_plan> classes;
    int workspaces = 16;
    /** How uneven the workspaces are (0: all alike). */
    double workspaceSkew = 1.0;
    /** The part of the callers that leave soon. */
    double abandoningFraction = 0.0;
    std::vector<load_change> changes;
    /** Callers in each data centre. */
    int callersPerDataCentre = 10;
    std::uint64_t seed = 1;

    std::vector<std::string> workspaceNames() const;
};

} // namespace quetzal::bench
