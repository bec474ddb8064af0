#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace quetzal {

/**
 * Returns the interval at which a router sends its digest to each of its peers.
 *
 * It grows with the number of peers, so that the rate of datagrams that one router receives stays
 * bounded.
 */
absl::Duration digestInterval(std::size_t peers);

} // namespace quetzal
