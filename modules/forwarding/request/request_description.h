#pragma once

#include "placement/cache/prompt_cache_view.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** What a router needs to know of a caller's request. */
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
    /** How long the caller waits, counted from the arrival. */
    std::optional<absl::Duration> callerTimeout;
    /** The parts of a model request's prompt; empty for other requests. */
    std::vector<prompt_part> prompt;
    /** The number of the last event that the caller has; empty unless it resumes a stream. */
    std::string lastEventId;
    std::int64_t maxOutputTokens = 0;

    bool operator==(const request_description &) const = default;
};

} // namespace quetzal
