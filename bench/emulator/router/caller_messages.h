#pragma once

#include "emulator/target/target_messages.h"
#include "forwarding/node/forwarding_types.h"
#include "forwarding/request/request_description.h"

#include <functional>
#include <string>
#include <variant>

namespace quetzal::bench {

/** A request of a caller, with properties that only the emulated target knows. */
struct caller_request
{
    request_description description;
    std::int64_t outputTokens = 0;
    absl::Duration work;
    bool isStream = false;
    bool alwaysFails = false;
};

/** Answer that the router gives itself. */
struct router_answer
{
    rejection reason;
};

/** A target's complete answer that is not a stream. */
struct complete_answer
{
    int status = 0;
    std::string body;
};

/** Head of a stream. */
struct stream_began
{
};

/** Part of a stream. */
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

/** One of the messages that a caller receives for a request. */
using caller_event = std::variant<router_answer, complete_answer, stream_began, stream_text,
                                  stream_ended, connection_broken>;
using caller_sink = std::function<void(const caller_event &)>;

} // namespace quetzal::bench
