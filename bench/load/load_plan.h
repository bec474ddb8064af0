#pragma once

#include "bench/load/load_settings.h"
#include "foundation/random/random_source.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal {

/** One request to be sent. */
struct planned_request
{
    /** When to send it, measured from the start of the run; zero for at once. */
    absl::Duration at;
    /** Index into the settings' routers. */
    int router = 0;
    request_template item;
    std::string requestId;
    /** Last message of a chat request. */
    std::string message;
    int tokens = 0;
    /** Hint to send; 0 for none. */
    double hint = 0.0;

    bool operator==(const planned_request &) const = default;
};

/**
 * Draws the requests of one flow of a workspace; the same seed gives the same sequence.
 *
 * It has no I/O and no clock.
 */
class load_plan
{
public:
    load_plan(const load_workspace &workspace, std::size_t flow, int routers, std::uint64_t seed);

    /** The next request. */
    planned_request next();

private:
    const request_template &drawItem();
    int drawRouter();
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
