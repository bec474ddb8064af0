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
    /** The target that is meant; any other refuses. */
    std::string expectedTarget;
    std::vector<prompt_part> prompt;
    std::int64_t outputTokens = 0;
    /** The time that a plain service works on it. */
    absl::Duration work;
    /** When the target gives up. */
    absl::Time deadline;
    /** The number of the last event that the caller has. */
    int lastEvent = 0;
    bool isStream = false;
    /** The target fails it, whatever its own state. */
    bool alwaysFails = false;
};

/** The head of an answer. */
struct answer_head
{
    answer_description description;
};

/** A part of the body. */
struct answer_text
{
    std::string text;
};

/** The answer is complete. */
struct answer_end
{
};

/** The connection broke. */
struct answer_broken
{
};

/** What a target sends for one request, in order. */
using target_reply = std::variant<answer_head, answer_text, answer_end, answer_broken>;
using reply_sink = std::function<void(const target_reply &)>;

/** The text of one event of a stream. */
std::string eventText(const std::string &requestId, int number);
/** The text that ends every stream. */
std::string closingText(const std::string &requestId);
/** The body of a plain answer. */
std::string plainText(const std::string &requestId);

} // namespace quetzal::bench
