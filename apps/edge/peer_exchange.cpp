#include "apps/edge/peer_exchange.h"

#include "apps/edge/edge_clock.h"
#include "exchange/digest/digest_codec.h"

#include <algorithm>

namespace quetzal {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/** Bound of the set of discovered peers. */
constexpr std::size_t maxDiscoveredPeers = 64;
/** Datagrams must not wait for the other events of a busy router, or what they tell is stale. */
constexpr int maxDatagramsPerTurn = 256;

udp::endpoint endpointAt(const std::string &host, std::uint16_t port)
{
    error_code error;
    return {boost::asio::ip::make_address_v4(host, error), port};
}

} // namespace

peer_exchange::peer_exchange(boost::asio::io_context &loop, forwarding_node &node,
                             const network_address &address)
    : m_socket(loop, endpointAt(address.host, address.port))
    , m_timer(loop)
    , m_node(node)
    , m_port(address.port)
{
    m_socket.non_blocking(true);
}

void peer_exchange::start()
{
    receive();
    scheduleSend();
}

void peer_exchange::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const error_code &error) {
        if (error == boost::asio::error::operation_aborted)
            return;
        receiveWaiting();
        receive();
    });
}

void peer_exchange::receiveWaiting()
{
    for (int received = 0; received < maxDatagramsPerTurn; ++received) {
        error_code error;
        const std::size_t bytes
            = m_socket.receive_from(boost::asio::buffer(m_buffer), m_sender, 0, error);
        if (error)
            return;
        onDatagram(bytes);
    }
}

void peer_exchange::onDatagram(std::size_t bytes)
{
    const auto digest = decodeDigest({m_buffer.data(), bytes});
    if (!digest)
        return;
    ++m_receivedCount;
    if (m_discoveredPeers.size() < maxDiscoveredPeers)
        m_discoveredPeers.insert(m_sender.address().to_string());
    m_node.onDigest(*digest, edgeNow());
}

std::optional<network_address> peer_exchange::nextPeer()
{
    std::vector<std::string> hosts = m_peers;
    for (const std::string &host : m_discoveredPeers) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
            hosts.push_back(host);
    }
    if (hosts.empty())
        return std::nullopt;
    return network_address {.host = hosts[m_nextPeerIndex++ % hosts.size()], .port = m_port};
}

void peer_exchange::scheduleSend()
{
    m_timer.expires_after(absl::ToChronoNanoseconds(backlogInterval(m_peers.size())));
    m_timer.async_wait([this](const error_code &error) {
        if (error)
            return;
        sendDigest();
        scheduleSend();
    });
}

peer_digest peer_exchange::nextDigest(absl::Time now)
{
    if (m_schedule.next(m_peers.size(), now) == digest_kind::Backlog)
        return m_node.makeBacklogDigest(now);
    std::vector<std::int64_t> lastChangeRevisions;
    if (m_lastChanges)
        lastChangeRevisions = m_lastChanges();
    return m_node.makeDigest(std::move(lastChangeRevisions), now);
}

void peer_exchange::sendDigest()
{
    if (m_peers.empty())
        return;
    const std::string bytes = encodeDigest(nextDigest(edgeNow()));
    for (const std::string &host : m_peers) {
        error_code sendError;
        m_socket.send_to(boost::asio::buffer(bytes), endpointAt(host, m_port), 0, sendError);
        if (!sendError)
            ++m_sentCount;
    }
}

} // namespace quetzal
