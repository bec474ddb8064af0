#pragma once

#include "emulator/target/target_messages.h"
#include "forwarding/node/forwarding_types.h"
#include "forwarding/request/request_description.h"

#include <functional>
#include <string>
#include <variant>

namespace quetzal::bench {

/** A request of a caller, with what only its target finds out. */
struct caller_request
{
    request_description description;
    std::int64_t outputTokens = 0;
    absl::Duration work;
    bool isStream = false;
    bool alwaysFails = false;
};

/** The router's own answer. */
struct router_answer
{
    rejection reason;
};

/** A target's whole answer. */
struct complete_answer
{
    int status = 0;
    std::string body;
};

/** The head of a stream. */
struct stream_began
{
};

/** A part of a stream. */
struct stream_text
{
    std::string text;
};

/** The stream is complete. */
struct stream_ended
{
};

/** The connection broke before the answer was complete. */
struct connection_broken
{
};

/** What a caller gets for one request, in order. */
using caller_event = std::variant<router_answer, complete_answer, stream_began, stream_text,
                                  stream_ended, connection_broken>;
using caller_sink = std::function<void(const caller_event &)>;

} // namespace quetzal::bench
