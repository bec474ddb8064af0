#pragma once

#include "bench/load/load_settings.h"
#include "foundation/random/random_source.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal {

/** A request to be sent. */
struct planned_request
{
    /** Time at which to send it, from the start of the run; zero to send it immediately. */
    absl::Duration at;
    /** Index into the settings' routers. */
    int router = 0;
    request_template item;
    /** The request id that the caller sends. */
    std::string requestId;
    /** Last message of a chat request, or body of a plain call. */
    std::string message;
    /** Number of tokens to generate; 0 for a plain call. */
    int tokens = 0;
    /** Cost hint to send, in tokens; 0 for none. */
    double hint = 0.0;

    bool operator==(const planned_request &) const = default;
};

/**
 * Generates the requests of one flow of a workspace; the same seed gives the same sequence.
 *
 * The class does no I/O and reads no clock.
 */
class load_plan
{
public:
    /** The flow is an index into the workspace's flows; routers is the number of routers. */
    load_plan(const load_workspace &workspace, std::size_t flow, int routers, std::uint64_t seed);

    /** Returns the next request. */
    planned_request next();

private:
    const request_template &drawItem();
    int drawRouter();
    /** Draws a number of tokens, distributed uniformly on a logarithmic scale. */
    int drawTokens(const request_template &item);

    std::string m_workspace;
    load_flow m_flow;
    std::string m_idPrefix;
    int m_routers;
    random_source m_random;
    std::int64_t m_requestCount = 0;
    absl::Duration m_arrival;
};

} // namespace quetzal
