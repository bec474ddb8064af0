#pragma once

#include "placement/cache/prompt_cache_view.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** The properties of a caller's request that the router decides on. */
struct request_description
{
    /** The caller's identifier of this attempt. */
    std::string id;
    std::string method;
    std::string host;
    /** The path with its query. */
    std::string path;
    /** The API key; empty when none was sent. */
    std::string key;
    /** How long the caller waits for the answer, from the arrival of the request. */
    std::optional<absl::Duration> callerTimeout;
    /** The parts of a model request's prompt; empty for other requests. */
    std::vector<prompt_part> prompt;
    /** The id of the last event that the caller received; empty unless it resumes a stream. */
    std::string lastEventId;
    std::int64_t maxOutputTokens = 0;

    bool operator==(const request_description &) const = default;
};

/** Returns the cost of a model request in weighted tokens, the unit of the fair shares. */
std::int64_t costInTokens(const request_description &description);

} // namespace quetzal
