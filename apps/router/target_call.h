#pragma once

#include "routing/answer/stream_verifier.h"
#include "routing/request/request_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

/** One request as it goes to a target. */
struct target_request
{
    std::string address;
    std::string method;
    std::string path;
    std::string body;
    std::string contentType;
    /** Made by the router, unique for each attempt. */
    std::string requestId;
    std::string callerRequestId;
    std::string traceparent;
    bool isModel = false;
    absl::Time deadline;
    absl::Duration firstByteTimeout;
    absl::Duration idleTimeout;
    /** True when the attempt should end. */
    std::function<bool()> isCancelled;
};

/** A whole answer of a target. */
struct target_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/** How an attempt ended, and the answer when there is a whole one. */
struct buffered_outcome
{
    attempt_result result;
    target_answer answer;
};

/** Receives the parts of a stream that may go to the caller; false ends the attempt. */
using stream_sink = std::function<bool(const std::string &text)>;

/** Sends a request on a fresh connection and waits for the whole answer. */
buffered_outcome callBuffered(const target_request &request);

/**
 * Sends a streamed request and passes its verified events on.
 *
 * A broken stream is resumed by request id and event number; onUnits is told the units so far.
 */
attempt_result callStream(const target_request &request, const stream_sink &sink,
                          const std::function<void(double)> &onUnits);

} // namespace quetzal
