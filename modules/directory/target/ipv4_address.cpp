#include "directory/target/ipv4_address.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <optional>

namespace quetzal {

namespace {

using address_bytes = std::array<unsigned char, 4>;

std::optional<address_bytes> parse(const std::string &text)
{
    address_bytes bytes {};
    const bool hasNul = std::strlen(text.c_str()) != text.size();
    if (hasNul || inet_pton(AF_INET, text.c_str(), bytes.data()) != 1)
        return std::nullopt;
    return bytes;
}

} // namespace

bool isIpv4Address(const std::string &text)
{
    return parse(text).has_value();
}

bool isIpv4HostAddress(const std::string &text)
{
    constexpr unsigned char firstMulticast = 224;
    const auto bytes = parse(text);
    return bytes && bytes->front() != 0 && bytes->front() < firstMulticast;
}

} // namespace quetzal
