#pragma once

#include "forwarding/route/route_table.h"
#include "placement/cache/prompt_cache_view.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzal::bench {

/** Log-normal distribution of a size. */
struct size_distribution
{
    double mean = 0.0;
    /** Standard deviation of the logarithm. */
    double logStdDev = 0.0;
    double max = 1e9;

    bool operator==(const size_distribution &) const = default;
};

/** Distribution of a prompt part that several requests share. */
struct shared_prompt_part
{
    size_distribution tokens;
    /** Number of different parts. */
    int variantCount = 1;
    /** Exponent of the Zipf distribution of their use; 0 for equal use. */
    double skew = 0.0;

    bool operator==(const shared_prompt_part &) const = default;
};

/** One class of requests. */
struct class_plan
{
    std::string name;
    request_kind kind = request_kind::Stream;
    bool isResumable = false;
    std::string service;
    double perSecond = 1.0;
    absl::Duration latencyObjective = absl::Milliseconds(600);
    absl::Duration deadline = absl::Seconds(8);
    /** Longest gap between events with which a streamed answer counts as on time. */
    absl::Duration maxEventGap = absl::Milliseconds(400);
    /** Worth of a request of mean size that is answered on time, or late. */
    double worth = 1.0;
    double lateWorth = 0.5;
    /** Maximum number of targets on which one attempt may be executed. */
    int attempts = 1;
    /** Maximum number of retries of a caller. */
    int retries = 1;
    std::vector<shared_prompt_part> sharedParts;
    size_distribution ownTokens;
    size_distribution outputTokens;
    size_distribution workMs;
    size_distribution bodyBytes;
    /** Fraction of the requests that every target fails. */
    double alwaysFailingFraction = 0.0;

    bool isModelRequest() const { return !sharedParts.empty(); }
    /** Returns the route of the class; its path prefix is the name between slashes. */
    route toRoute() const;
};

/** A change of the load for a limited time. */
struct load_change
{
    /** Time since the start of the load. */
    absl::Duration at;
    absl::Duration duration;
    double factor = 1.0;
    /** Index of the workspace, from 0; -1 for all. */
    int workspace = -1;
};

/** A prompt part that some requests of a class have in addition, for a limited time. */
struct added_part
{
    prompt_part part;
    std::size_t classIndex = 0;
    /** Index of the part in the prompt, at most the number of shared parts of the class. */
    std::size_t position = 1;
    /** Fraction of the requests of the class that have the part. */
    double fraction = 0.0;
    /** Time since the start of the load. */
    absl::Duration at;
    absl::Duration duration = absl::InfiniteDuration();
};

/** The load that callers send. */
struct load_plan
{
    std::vector<class_plan> classes;
    int workspaces = 16;
    /** Exponent of the Zipf distribution of requests over workspaces; 0 for equal use. */
    double workspaceSkew = 1.0;
    /** Indexes of the workspaces whose callers all connect to the same VM, one for each. */
    std::vector<std::size_t> singleVmWorkspaces;
    /** True if repeats of these callers connect to that VM as well, false if to any. */
    bool singleVmRepeats = false;
    /** Fraction of the requests whose callers close the connection early. */
    double abandoningFraction = 0.0;
    std::vector<load_change> changes;
    std::vector<added_part> addedParts;
    /** Number of callers in each data centre. */
    int callersPerDataCentre = 10;
    std::uint64_t seed = 1;

    std::vector<std::string> workspaceNames() const;
};

} // namespace quetzal::bench
