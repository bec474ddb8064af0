#include "exchange/interval/digest_interval.h"

#include <algorithm>

namespace quetzal {

namespace {

constexpr absl::Duration minInterval = absl::Milliseconds(100);
/** The average time between two received datagrams in a large fleet. */
constexpr absl::Duration intervalPerPeer = absl::Milliseconds(15);

} // namespace

absl::Duration digestInterval(std::size_t peers)
{
    return std::max(minInterval, intervalPerPeer * static_cast<double>(peers));
}

} // namespace quetzal
