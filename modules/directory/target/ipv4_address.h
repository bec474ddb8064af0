#pragma once

#include <string>

namespace quetzal {

/** True if the text is an IPv4 address in dotted decimal notation without leading zeros. */
bool isIpv4Address(const std::string &text);

/** True if the text is the IPv4 address of one host: not 0.0.0.0/8, multicast or reserved. */
bool isIpv4HostAddress(const std::string &text);

} // namespace quetzal
