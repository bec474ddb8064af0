#pragma once

#include "protocol/messages/message.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace quetzal {

/** An IPv4 address and a port. */
struct endpoint
{
    std::string ip;
    int port = 0;

    auto operator<=>(const endpoint &) const = default;
};

/** Parses "127.0.0.1:8080"; the port is 0 if the text is not an IPv4 address and a port. */
endpoint parseEndpoint(const std::string &text);
/** Returns the address in the form that parseEndpoint() reads. */
std::string toText(const endpoint &address);

/** Options of message_network. */
struct message_network_options
{
    /** Identity of this process, sent to its peers. */
    node_id self;
    /** Listen address of a scheduler; port 0 for a process that only opens connections. */
    endpoint listen;
    /** Called on the network thread for each message; must return quickly. */
    std::function<void(const node_id &from, const message &content)> onMessage;
    /** A connection on which nothing is received for this long is closed. */
    absl::Duration idleTimeout = absl::Seconds(3);
    /** Maximum time for establishing a connection. */
    absl::Duration connectTimeout = absl::Seconds(1);
    /** Maximum number of bytes queued for one peer; beyond it the oldest messages are dropped. */
    std::size_t maxQueuedBytes = std::size_t {256} * 1024;
    /** Maximum number of open connections; further ones are closed once accepted. */
    std::size_t maxConnections = 1024;
};

/** Counters of a message_network; the bytes include all frames and their framing. */
struct network_counts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    /**
     * Messages dropped because the peer was unreachable or read too slowly, or because they were
     * longer than a receiver accepts.
     */
    std::uint64_t messagesDropped = 0;
    std::uint64_t connectionsOpened = 0;
    /** Connections closed because nothing was received for the idle timeout. */
    std::uint64_t connectionsTimedOut = 0;
    /** Connections closed because of an oversized or malformed frame. */
    std::uint64_t connectionsMalformed = 0;

    bool operator==(const network_counts &) const = default;
};

/**
 * Sends and receives messages over TCP, with one connection for each pair of processes.
 *
 * A frame is a 4-byte big-endian length and the encoded message; the first frame of a connection
 * identifies the sender. Schedulers listen; a router connects to schedulers and receives their
 * messages on the same connection. Sending never blocks: messages to an unreachable peer are
 * dropped, because every message describes state and is resent regularly. A process that receives
 * messages sends an empty frame if it has sent nothing else for a third of the idle timeout. A
 * connection on which nothing is received for the whole idle timeout is closed, and reopened when
 * there is a message to send. Connecting to an unreachable peer is retried after a delay that
 * doubles up to one second. If both ends have opened a connection, both send on the one opened by
 * the process with the lower node_id.
 */
class message_network
{
public:
    explicit message_network(message_network_options options);
    ~message_network();
    message_network(const message_network &) = delete;
    message_network &operator=(const message_network &) = delete;

    /**
     * Starts listening and the network thread; throws std::system_error, with AddressInUse if the
     * listen address is not available.
     */
    void start();
    /** Closes all connections and joins the network thread. */
    void stop();
    /** Sets the address of each VM's scheduler; connections are opened on demand. */
    void setPeers(std::map<std::string, endpoint> schedulerByVm);
    /** Queues a message for a peer. */
    void send(const node_id &to, const message &content);
    /** Returns the counters since construction. */
    network_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzal
