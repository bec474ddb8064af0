#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace quetzal::bench {

/** A request that arrived at a target. */
struct target_arrival
{
    std::string requestId;
    std::string service;
    std::string target;
    std::string dataCentre;
    /** Tells the lives of a target apart. */
    std::int64_t incarnation = 0;
    absl::Time at;
    bool isCold = false;
    /** True when the target took it; false when it refused it. */
    bool isAccepted = false;
};

/** What is seen at the targets of an emulated fleet. */
class fleet_observer
{
public:
    virtual ~fleet_observer() = default;
    virtual void onArrival(const target_arrival &arrival) = 0;
    /** A target began to work on a request; it goes on behind this event, 0 for a new run. */
    virtual void onRun(const std::string &requestId, int lastEvent, absl::Time now) = 0;
    /** A target read this many prompt tokens that some target had already read. */
    virtual void onPromptRead(std::int64_t tokens, std::int64_t repeatedTokens) = 0;
};

} // namespace quetzal::bench
