#include "admission/share/share_state.h"

#include "foundation/hashing/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace quetzal {

namespace {

/** Bound of the ratio of owed to served tokens that counts. */
constexpr double maxOwedOverServed = 2.0;
/** Above 1 it makes up for what was missed; far above, the shares would swing. */
constexpr double correctionExponent = 1.5;

} // namespace

double shareOverDemand(const share_state &share)
{
    if (!share.fairShareTokens || share.requestedTokens <= 0.0)
        return 1.0;
    return *share.fairShareTokens / share.requestedTokens;
}

double shareRatio(const share_state &share)
{
    const double owed = share.fairShareTokens
        ? std::min(*share.fairShareTokens, share.requestedTokens)
        : share.requestedTokens;
    if (owed <= 0.0)
        return shareOverDemand(share);
    const double owedOverServed
        = std::clamp(owed / std::max(share.servedTokens, 1.0), 1.0, maxOwedOverServed);
    return shareOverDemand(share) * std::pow(owedOverServed, correctionExponent);
}

double fractionWithinShare(const share_state &share)
{
    return std::min(shareRatio(share), 1.0);
}

double shareDraw(std::string_view requestId)
{
    constexpr int mantissaBits = 53;
    constexpr int droppedBits = 64 - mantissaBits;
    constexpr auto range = static_cast<double>(std::uint64_t {1} << mantissaBits);
    return static_cast<double>(stableHash(requestId) >> droppedBits) / range;
}

} // namespace quetzal
