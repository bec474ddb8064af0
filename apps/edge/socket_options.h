#pragma once

#include "directory/target/target_record.h"

#include <boost/asio/ip/tcp.hpp>

namespace quetzal {

/** The endpoint of an address; any address when the host is no IPv4 address. */
boost::asio::ip::tcp::endpoint endpointOf(const network_address &address);

/** Sends small packets at once, and finds out within seconds that the other end is gone. */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

} // namespace quetzal
