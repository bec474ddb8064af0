#pragma once

#include "protocol/messages/message.h"

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
};

/** Counts of everything sent and received, frames and framing included. */
struct network_counts
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;

    bool operator==(const network_counts &) const = default;
};

/**
 * Sends and receives messages over TCP, one connection for each pair of processes.
 *
 * A frame is a 4-byte big-endian length and the encoded message; the first frame of a connection
 * names the sender. Schedulers listen; a router connects to schedulers and gets its answers on the
 * same connection. Sending never blocks: messages to an unreachable peer are dropped, because
 * every message describes state and is repeated. A connection that is silent for longer than the
 * limit is closed and opened anew.
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
