#pragma once

#include "directory/target/target_record.h"
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

/** Sends this router's digests to the others and receives theirs, as datagrams. */
class peer_exchange
{
public:
    /** Throws std::system_error when the address can't be bound. */
    peer_exchange(boost::asio::io_context &loop, forwarding_node &node,
                  const network_address &address);

    void start();
    /** Names what tells the last changes of the store that are known here. */
    void setLastChanges(std::function<std::vector<std::int64_t>()> lastChanges)
    {
        m_lastChanges = std::move(lastChanges);
    }
    /** Replaces the hosts of the other routers. */
    void setPeers(std::vector<std::string> hosts) { m_peers = std::move(hosts); }
    /** The next router, in turn, of those that were named or heard; nothing when there is none. */
    std::optional<network_address> nextPeer();
    std::int64_t sentCount() const { return m_sentCount; }
    std::int64_t receivedCount() const { return m_receivedCount; }

private:
    void receive();
    void onDatagram(std::size_t bytes);
    void scheduleSend();
    void sendDigest();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    forwarding_node &m_node;
    std::uint16_t m_port;
    std::function<std::vector<std::int64_t>()> m_lastChanges;
    std::vector<std::string> m_peers;
    /** Where datagrams came from although nobody named their senders. */
    absl::flat_hash_set<std::string> m_discoveredPeers;
    std::size_t m_nextPeerIndex = 0;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 16384> m_buffer {};
    std::int64_t m_sentCount = 0;
    std::int64_t m_receivedCount = 0;
};

} // namespace quetzal
