#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace quetzal::bench {

/** Describes a request that arrived at a target. */
struct target_arrival
{
    std::string requestId;
    std::string service;
    std::string target;
    std::string dataCentre;
    /** Distinguishes the incarnations of a target; changes when it restarts. */
    std::int64_t incarnation = 0;
    absl::Time at;
    /** True if the limit on requests to cold targets applies. */
    bool isCold = false;
    /** True if the target accepted the request, false if it rejected it. */
    bool isAccepted = false;
};

/** Receives the events at the targets of an emulated fleet. */
class fleet_observer
{
public:
    virtual ~fleet_observer() = default;
    /** Called when a request arrives at the target that it is meant for. */
    virtual void onArrival(const target_arrival &arrival) = 0;
    /**
     * Called when a target starts to execute a request. @param lastEvent the number of the event
     * after which it resumes a stream; 0 for a new execution
     */
    virtual void onExecutionStarted(const std::string &requestId, int lastEvent, absl::Time now)
        = 0;
    /**
     * Called when a target starts to process a prompt. @param tokens the prompt tokens that are not
     * in its cache @param repeatedTokens those of them that precede the last prompt part; they
     * belong to parts that other requests share
     */
    virtual void onPromptProcessed(std::int64_t tokens, std::int64_t repeatedTokens) = 0;
};

} // namespace quetzal::bench
