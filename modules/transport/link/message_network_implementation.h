#pragma once

#include "transport/link/message_network.h"
#include "transport/link/outbox.h"
#include "transport/link/peer_connection.h"
#include "transport/link/reconnect_backoff.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <set>
#include <string>
#include <thread>

namespace quetzal {

/** The network thread of a message_network, with its sockets, connections and outboxes. */
class message_network::implementation
{
public:
    explicit implementation(message_network_options options);
    ~implementation();
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    void start();
    void stop();
    void setPeers(std::map<std::string, endpoint> schedulerByVm);
    void send(const node_id &to, const message &content);
    network_counts counts() const;

private:
    static constexpr std::uint64_t listenerId = 0;
    static constexpr std::uint64_t wakeId = 1;
    static constexpr std::uint64_t firstConnectionId = 2;

    using connection_map = std::map<std::uint64_t, peer_connection>;

    void run();
    void wake();
    void handleWake();
    void handleEvent(std::uint64_t id, std::uint32_t events);
    void acceptPending();
    void applyPeers();
    void closeDialled(const node_id &peer);
    void sweep(link_clock::time_point now);
    bool isExpired(const peer_connection &connection, link_clock::time_point now);
    bool sendKeepalive(std::uint64_t id, peer_connection &connection, link_clock::time_point now);

    std::uint64_t add(socket_handle socket, bool isDialled, std::optional<node_id> peer);
    void updateEvents(std::uint64_t id, peer_connection &connection, bool wantsWritable);
    void close(std::uint64_t id);
    bool finishConnect(std::uint64_t id, peer_connection &connection);
    bool readFrom(peer_connection &connection);
    bool handleFrames(peer_connection &connection);
    bool handleHello(peer_connection &connection, std::string_view payload);
    bool writeTo(std::uint64_t id, peer_connection &connection);

    /** Returns the connection to send on, or 0 if there is none to the peer. */
    std::uint64_t activeConnection(const node_id &peer) const;
    void sendQueued(const node_id &peer);
    /** Opens a connection if messages are queued; false if the peer can't be dialled now. */
    bool dial(const node_id &peer);
    std::string takeFrames(const node_id &peer);
    void dropFrames(const node_id &peer);
    template <typename Change>
    void updateCounts(Change change);

    const message_network_options m_options;
    mutable absl::Mutex m_mutex;
    std::map<node_id, outbox> m_outboxes ABSL_GUARDED_BY(m_mutex);
    /** Peers with messages queued since the network thread last looked. */
    std::set<node_id> m_pendingPeers ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, endpoint> m_newAddresses ABSL_GUARDED_BY(m_mutex);
    bool m_addressesChanged ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    network_counts m_counts ABSL_GUARDED_BY(m_mutex);

    std::thread m_thread;
    socket_handle m_epoll;
    socket_handle m_wake;
    socket_handle m_listener;

    std::map<std::string, endpoint> m_addresses;
    connection_map m_connections;
    std::map<node_id, std::set<std::uint64_t>> m_connectionsByPeer;
    reconnect_backoff m_reconnects;
    std::uint64_t m_nextId = firstConnectionId;
    link_clock::time_point m_lastSweep;
};

} // namespace quetzal
