#include "transport/http/http_call.h"

namespace quetzal {

namespace {

constexpr int statusOk = 200;

} // namespace

std::unique_ptr<httplib::Client> makeCallClient(const endpoint &address)
{
    auto client = std::make_unique<httplib::Client>(address.ip, address.port);
    client->set_connection_timeout(callConnectTimeout);
    client->set_write_timeout(callConnectTimeout);
    client->set_read_timeout(callReadTimeout);
    client->set_tcp_nodelay(true);
    return client;
}

std::optional<std::string> fetchBody(const endpoint &address, const std::string &path)
{
    const auto client = makeCallClient(address);
    const httplib::Result result = client->Get(path);
    if (!result || result->status != statusOk)
        return std::nullopt;
    return result->body;
}

} // namespace quetzal
