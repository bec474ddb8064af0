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

/** An IP number and a port. */
struct endpoint
{
    std::string ip;
    int port = 0;

    auto operator<=>(const endpoint &) const = default;
};

/** Reads "127.0.0.1:8080"; the port is 0 when the text is not an IP number and a port. */
endpoint parseEndpoint(const std::string &text);
std::string toText(const endpoint &address);

/** Options of message_network. */
struct message_network_options
{
    node_id self;
    /** Where schedulers accept connections; port 0 for a process that only connects. */
    endpoint listen;
    /** Called on a network thread for each message; must return quickly. */
    std::function<void(const node_id &from, const message &content)> onMessage;
    /** A connection on which nothing arrives for this long is closed. */
    absl::Duration idleTimeout = absl::Seconds(3);
    /** Longest time that opening a connection may take. */
    absl::Duration connectTimeout = absl::Seconds(1);
    /** Bytes that may wait for one peer; beyond them the oldest messages are dropped. */
    std::size_t maxQueuedBytes = std::size_t {256} * 1024;
    /** Connections open at once; further ones are closed on acceptance. */
    std::size_t maxConnections = 1024;
};

/** Counts of everything sent and received, frames and framing included. */
struct network_counts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
    /** Messages dropped because the peer was unreachable or took too few. */
    std::uint64_t messagesDropped = 0;
    std::uint64_t connectionsOpened = 0;
    /** Connections closed because nothing arrived for the silence limit. */
    std::uint64_t connectionsTimedOut = 0;
    /** Connections closed because of a frame that is too long or not a message. */
    std::uint64_t connectionsMalformed = 0;

    bool operator==(const network_counts &) const = default;
};

/**
 * Sends and receives messages over TCP, one connection for each pair of processes.
 *
 * A frame is a 4-byte big-endian length and the encoded message; the first frame of a connection
 * names the sender. Schedulers listen; a router connects to schedulers and gets its answers on the
 * same connection. Sending never blocks: messages to an unreachable peer are dropped, because
 * every message describes state and is repeated. A process that receives messages answers with an
 * empty frame when it has sent nothing else for a third of the silence limit; a connection on which
 * nothing arrives for the whole limit is closed, and opened anew when there is a message to send.
 * An unreachable peer is tried again after a pause that doubles up to a second. When both ends
 * have opened a connection, both send on the one opened by the lower node_id.
 */
class message_network
{
public:
    explicit message_network(message_network_options options);
    ~message_network();
    message_network(const message_network &) = delete;
    message_network &operator=(const message_network &) = delete;

    /** Begins to listen and to connect; throws std::system_error with AddressInUse. */
    void start();
    /** Closes every connection and joins the threads. */
    void stop();
    /** Where the scheduler of each VM listens; connections are opened on demand. */
    void setPeers(std::map<std::string, endpoint> schedulerByVm);
    /** Queues a message. */
    void send(const node_id &to, const message &content);
    network_counts counts() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzal
