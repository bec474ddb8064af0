#include "admission/share/share_state.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cstdint>

namespace quetzal {

namespace {

constexpr absl::Duration minRetryAfter = absl::Milliseconds(200);
/** The Retry-After at twice the share. */
constexpr absl::Duration retryAfterAtTwice = absl::Milliseconds(250);
/** Demand changes within this time, so a longer wait would be a guess. */
constexpr absl::Duration maxRetryAfter = absl::Seconds(1);

} // namespace

double shareOverDemand(const share_state &share)
{
    if (!share.fairShareTokens || share.requestedTokens <= 0.0)
        return 1.0;
    return *share.fairShareTokens / share.requestedTokens;
}

bool isWithinShare(const share_state &share, double draw)
{
    return draw < shareOverDemand(share);
}

absl::Duration retryAfterBeyondShare(const share_state &share)
{
    const double ratio = shareOverDemand(share);
    if (ratio <= 0.0)
        return maxRetryAfter;
    return std::clamp(retryAfterAtTwice * (1.0 / ratio - 1.0), minRetryAfter, maxRetryAfter);
}

double shareDraw(std::string_view requestId)
{
    constexpr int mantissaBits = 53;
    constexpr int droppedBits = 64 - mantissaBits;
    constexpr auto range = static_cast<double>(std::uint64_t {1} << mantissaBits);
    return static_cast<double>(stableHash(requestId) >> droppedBits) / range;
}

} // namespace quetzal
