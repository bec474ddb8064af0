#pragma once

#include "transport/link/message_network.h"
#include "transport/link/socket_handle.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <functional>
#include <string>
#include <vector>

namespace quetzal::testing {

/** Maximum wait for an expected event; only a failing test waits that long. */
inline constexpr absl::Duration testTimeout = absl::Seconds(20);

/** Polls the condition until it is true or the limit has passed; returns its last value. */
inline bool waitUntil(const std::function<bool()> &condition, absl::Duration limit = testTimeout)
{
    const absl::Time end = absl::Now() + limit;
    while (absl::Now() < end) {
        if (condition())
            return true;
        absl::SleepFor(absl::Milliseconds(5));
    }
    return condition();
}

/** Returns a loopback address whose port was free a moment ago. */
inline endpoint freeEndpoint()
{
    const socket_handle probe = listenAt({.ip = "127.0.0.1", .port = 0});
    return {.ip = "127.0.0.1", .port = localPort(probe)};
}

/** Collects the messages that a message_network receives. */
class message_inbox
{
public:
    void add(const node_id &from, const message &content)
    {
        const absl::MutexLock lock(&m_mutex);
        m_senders.push_back(from);
        m_messages.push_back(content);
    }
    std::size_t size() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_messages.size();
    }
    std::vector<node_id> senders() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_senders;
    }
    std::vector<message> messages() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_messages;
    }

private:
    mutable absl::Mutex m_mutex;
    std::vector<node_id> m_senders;
    std::vector<message> m_messages;
};

/** A message_network and the messages that it has received. */
struct test_node
{
    test_node(node_id self, endpoint listen, absl::Duration idleTimeout = absl::Seconds(3),
              std::size_t maxQueuedBytes = std::size_t {256} * 1024)
        : network({.self = std::move(self),
                   .listen = std::move(listen),
                   .onMessage = [this](const node_id &from,
                                       const message &content) { inbox.add(from, content); },
                   .idleTimeout = idleTimeout,
                   .maxQueuedBytes = maxQueuedBytes})
    {
    }

    message_inbox inbox;
    message_network network;
};

/** Returns a small message that the number identifies. */
inline message makeNumberedMessage(std::int64_t revision)
{
    protocol::configuration_request request;
    request.haveRevision = revision;
    return request;
}

/** Returns a message with a document of this size. */
inline message makeDocumentMessage(std::size_t bytes)
{
    protocol::configuration_update update;
    update.revision = 1;
    update.document = std::string(bytes, 'd');
    return update;
}

} // namespace quetzal::testing
