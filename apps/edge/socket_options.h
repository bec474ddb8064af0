#pragma once

#include "directory/target/target_record.h"

#include <absl/time/time.h>
#include <boost/asio/ip/tcp.hpp>

namespace quetzal {

/** Converts an address to an endpoint; a host that is not an IPv4 address yields 0.0.0.0. */
boost::asio::ip::tcp::endpoint endpointOf(const network_address &address);

/** The time within which a peer that is expected to read at once is found to be unreachable. */
inline constexpr absl::Duration maxUnacknowledgedTime = absl::Milliseconds(1500);

/**
 * Disables Nagle's algorithm and makes TCP detect an unreachable peer within seconds.
 * @param maxUnacknowledged the time after which bytes that the peer neither acknowledged nor had
 * room for break the connection
 */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket,
                          absl::Duration maxUnacknowledged = maxUnacknowledgedTime);

} // namespace quetzal
