#include "transport/link/message_network.h"

#include <absl/strings/numbers.h>

#include <arpa/inet.h>

namespace quetzal {

endpoint parseEndpoint(const std::string &text)
{
    constexpr int maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    endpoint address {.ip = text.substr(0, colon)};
    in_addr native {};
    int port = 0;
    const bool valid = inet_pton(AF_INET, address.ip.c_str(), &native) == 1
        && absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 && port <= maxPort;
    if (!valid)
        return {};
    address.port = port;
    return address;
}

std::string toText(const endpoint &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace quetzal
