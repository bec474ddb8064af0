#pragma once

#include "forwarding/request/answer_description.h"
#include "placement/cache/prompt_cache_view.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace quetzal::bench {

/** A request as it reaches a target. */
struct target_request
{
    std::string id;
    /** Identifier of the intended target; any other target rejects the request. */
    std::string expectedTarget;
    std::vector<prompt_part> prompt;
    std::int64_t outputTokens = 0;
    /** Time that a plain service takes to execute it. */
    absl::Duration work;
    /** Time after which the target rejects the request, or fails it if it is already running. */
    absl::Time deadline;
    /** Number of the last event that the caller received; 0 if none. */
    int lastEvent = 0;
    bool isStream = false;
    /** True if every target fails the request. */
    bool alwaysFails = false;
};

/** Head of an answer. */
struct answer_head
{
    answer_description description;
};

/** Part of the body of an answer. */
struct answer_text
{
    std::string text;
};

/** The answer is complete. */
struct answer_end
{
};

/** The connection broke before the answer was complete. */
struct answer_broken
{
};

/** One of the messages that a target sends for a request. */
using target_reply = std::variant<answer_head, answer_text, answer_end, answer_broken>;
using reply_sink = std::function<void(const target_reply &)>;

/** Returns the text of one event of a stream; events are numbered from 1. */
std::string eventText(const std::string &requestId, int number);
/** Returns the text that ends a stream. */
std::string closingText(const std::string &requestId);
/** Returns the body of an answer that is not a stream. */
std::string plainText(const std::string &requestId);

} // namespace quetzal::bench
