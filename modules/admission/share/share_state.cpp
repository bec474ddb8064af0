#include "admission/share/share_state.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cstdint>

namespace quetzal {

double shareOverDemand(const share_state &share)
{
    if (!share.fairShareTokens || share.requestedTokens <= 0.0)
        return 1.0;
    return *share.fairShareTokens / share.requestedTokens;
}

double fractionWithinShare(const share_state &share)
{
    return std::min(shareOverDemand(share), 1.0);
}

double shareDraw(std::string_view requestId)
{
    constexpr int mantissaBits = 53;
    constexpr int droppedBits = 64 - mantissaBits;
    constexpr auto range = static_cast<double>(std::uint64_t {1} << mantissaBits);
    return static_cast<double>(stableHash(requestId) >> droppedBits) / range;
}

} // namespace quetzal
