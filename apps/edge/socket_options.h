#pragma once

#include "directory/target/target_record.h"

#include <boost/asio/ip/tcp.hpp>

namespace quetzal {

/** Converts an address to an endpoint; a host that is not an IPv4 address yields 0.0.0.0. */
boost::asio::ip::tcp::endpoint endpointOf(const network_address &address);

/** Disables Nagle's algorithm and makes TCP detect an unreachable peer within seconds. */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

} // namespace quetzal
