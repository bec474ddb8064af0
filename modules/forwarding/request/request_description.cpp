#include "forwarding/request/request_description.h"

namespace quetzal {

namespace {

/** An output token counts as this many prompt tokens in the configured capacity. */
constexpr std::int64_t outputTokenWeight = 2;

} // namespace

std::int64_t costInTokens(const request_description &description)
{
    return tokensOf(description.prompt) + outputTokenWeight * description.maxOutputTokens;
}

} // namespace quetzal
