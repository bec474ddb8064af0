#include "apps/edge/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quetzal {

namespace {

constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int maxUnansweredProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

boost::asio::ip::tcp::endpoint endpointOf(const network_address &address)
{
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address_v4(address.host, error);
    return {host, address.port};
}

void setConnectionOptions(boost::asio::ip::tcp::socket &socket, absl::Duration maxUnacknowledged)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(absl::ToInt64Milliseconds(maxUnacknowledged)));
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
}

} // namespace quetzal
