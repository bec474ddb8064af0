#pragma once

#include "directory/target/target_record.h"
#include "exchange/interval/digest_interval.h"
#include "exchange/peers/peer_list.h"
#include "forwarding/node/forwarding_node.h"
#include "replication/update/mirror_update.h"

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

/** Exchanges load digests and updates of replicas with the other routers as UDP datagrams. */
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
    /** Sets the function that receives the updates of other routers and their hosts. */
    void setUpdateCallback(std::function<void(const mirror_update &, const std::string &)> callback)
    {
        m_onUpdate = std::move(callback);
    }
    /** Sets the hosts of the other routers, to which digests and updates are sent. */
    void setPeers(std::vector<std::string> hosts);
    /** True if another router is known. */
    bool hasPeers() const { return m_peers.hasPeers(); }
    /** Returns the router at a host, or the next one if the host is empty; nullopt for none. */
    std::optional<network_address> peerAt(const std::string &host, absl::Time now);
    /** Sends an update to all other routers. */
    void sendUpdate(const mirror_update &update);
    /** Returns the number of datagrams sent. */
    std::int64_t sentCount() const { return m_sentCount; }
    /** Returns the number of valid digests received. */
    std::int64_t receivedCount() const { return m_receivedCount; }
    /** Returns the number of datagrams that were neither a digest nor an update. */
    std::int64_t unreadableCount() const { return m_unreadableCount; }

private:
    /** Waits for the next datagrams. */
    void receive();
    /** Takes the datagrams that are waiting, at most as many as one turn may. */
    void receiveWaiting();
    void onDatagram(std::size_t bytes);
    void scheduleSend();
    void sendDigest();
    void sendToAll(const std::string &bytes);
    peer_digest nextDigest(absl::Time now);

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    forwarding_node &m_node;
    digest_schedule m_schedule;
    std::uint16_t m_port;
    std::function<std::vector<std::int64_t>()> m_lastChanges;
    std::function<void(const mirror_update &, const std::string &)> m_onUpdate;
    peer_list m_peers;
    /** The addresses of the members in m_peers. */
    std::vector<boost::asio::ip::udp::endpoint> m_endpoints;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 16384> m_buffer {};
    std::int64_t m_sentCount = 0;
    std::int64_t m_receivedCount = 0;
    std::int64_t m_unreadableCount = 0;
};

} // namespace quetzal
