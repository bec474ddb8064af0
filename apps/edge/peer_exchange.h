#pragma once

#include "directory/target/target_record.h"
#include "exchange/interval/digest_interval.h"
#include "forwarding/node/forwarding_node.h"

#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/** Exchanges load digests with the other routers as UDP datagrams. */
class peer_exchange
{
public:
    /** Throws std::system_error if the address can't be bound. */
    peer_exchange(boost::asio::io_context &loop, forwarding_node &node,
                  const network_address &address);

    void start();
    /** Sets the function that returns the last known change of each mirrored prefix. */
    void setLastChanges(std::function<std::vector<std::int64_t>()> lastChangeRevisions)
    {
        m_lastChanges = std::move(lastChangeRevisions);
    }
    /** Sets the hosts of the other routers, to which digests are sent. */
    void setPeers(std::vector<std::string> hosts) { m_peers = std::move(hosts); }
    /** Returns configured and discovered routers in turn; nullopt if there is none. */
    std::optional<network_address> nextPeer();
    /** Returns the number of datagrams sent. */
    std::int64_t sentCount() const { return m_sentCount; }
    /** Returns the number of valid digests received. */
    std::int64_t receivedCount() const { return m_receivedCount; }

private:
    /** Waits for the next datagrams. */
    void receive();
    /** Takes the datagrams that are waiting, at most as many as one turn may. */
    void receiveWaiting();
    void onDatagram(std::size_t bytes);
    void scheduleSend();
    void sendDigest();
    peer_digest nextDigest(absl::Time now);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    forwarding_node &m_node;
    digest_schedule m_schedule;
    std::uint16_t m_port;
    std::function<std::vector<std::int64_t>()> m_lastChanges;
    std::vector<std::string> m_peers;
    /** Hosts from which a digest was received; nextPeer() uses them even if not configured. */
    absl::flat_hash_set<std::string> m_discoveredPeers;
    std::size_t m_nextPeerIndex = 0;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 16384> m_buffer {};
    std::int64_t m_sentCount = 0;
    std::int64_t m_receivedCount = 0;
};

} // namespace quetzal
