#include "apps/edge/peer_exchange.h"

#include "apps/edge/edge_clock.h"
#include "exchange/digest/digest_codec.h"
#include "replication/update/update_codec.h"

#include <string_view>
#include <utility>

namespace quetzal {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/** Longer datagrams are divided, or their content is left out. */
constexpr std::size_t maxUpdateBytes = 8192;
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
    , m_peers(address.host)
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
    const absl::Time now = edgeNow();
    const std::string_view datagram {m_buffer.data(), bytes};
    const std::string host = m_sender.address().to_string();
    if (const auto digest = decodeDigest(datagram)) {
        ++m_receivedCount;
        m_peers.onHeard(host, now);
        m_node.onDigest(*digest, now);
        return;
    }
    const auto update = decodeUpdate(datagram);
    if (!update) {
        ++m_unreadableCount;
        return;
    }
    ++m_receivedCount;
    m_peers.onHeard(host, now);
    if (m_onUpdate)
        m_onUpdate(*update, host);
}

void peer_exchange::setPeers(std::vector<std::string> hosts)
{
    const bool isFirst = m_endpoints.empty();
    m_endpoints.clear();
    for (const std::string &host : hosts)
        m_endpoints.push_back(endpointAt(host, m_port));
    m_peers.setMembers(std::move(hosts));
    // Routers that start at the same time know no others until they hear one.
    if (isFirst)
        sendDigest();
}

std::optional<network_address> peer_exchange::peerAt(const std::string &host, absl::Time now)
{
    const auto chosen = host.empty() ? m_peers.next(now) : std::optional(host);
    if (!chosen)
        return std::nullopt;
    return network_address {.host = *chosen, .port = m_port};
}

void peer_exchange::sendUpdate(const mirror_update &update)
{
    if (m_endpoints.empty())
        return;
    for (const std::string &bytes : encodeUpdate(update, maxUpdateBytes))
        sendToAll(bytes);
}

void peer_exchange::sendToAll(const std::string &bytes)
{
    for (const udp::endpoint &endpoint : m_endpoints) {
        error_code sendError;
        m_socket.send_to(boost::asio::buffer(bytes), endpoint, 0, sendError);
        if (!sendError)
            ++m_sentCount;
    }
}

void peer_exchange::scheduleSend()
{
    m_timer.expires_after(absl::ToChronoNanoseconds(backlogInterval(m_endpoints.size())));
    m_timer.async_wait([this](const error_code &error) {
        if (error)
            return;
        sendDigest();
        scheduleSend();
    });
}

peer_digest peer_exchange::nextDigest(absl::Time now)
{
    if (m_schedule.next(m_endpoints.size(), now) == digest_kind::Backlog)
        return m_node.makeBacklogDigest(now);
    std::vector<std::int64_t> lastChangeRevisions;
    if (m_lastChanges)
        lastChangeRevisions = m_lastChanges();
    return m_node.makeDigest(std::move(lastChangeRevisions), now);
}

void peer_exchange::sendDigest()
{
    const absl::Time now = edgeNow();
    const auto quarantine = m_node.makeQuarantineDigest(now);
    if (m_endpoints.empty())
        return;
    sendToAll(encodeDigest(nextDigest(now)));
    if (quarantine)
        sendToAll(encodeDigest(*quarantine));
}

} // namespace quetzal
