#include "transport/link/message_network_implementation.h"

#include "foundation/hashing/stable_hash.h"
#include "foundation/random/random_source.h"
#include "protocol/messages/message_codec.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>
#include <vector>

namespace quetzal {

namespace {

constexpr int eventsPerWait = 64;
constexpr int readsPerEvent = 16;
constexpr std::size_t writeBatchBytes = std::size_t {64} * 1024;
constexpr std::size_t maxHelloBytes = 256;
constexpr auto sweepInterval = std::chrono::milliseconds(100);
/** A longer gap between sweeps means that this process was suspended, not that peers timed out. */
constexpr auto maxSweepGap = std::chrono::milliseconds(500);

link_clock::duration toLinkDuration(absl::Duration duration)
{
    return absl::ToChronoNanoseconds(duration);
}

} // namespace

message_network::implementation::implementation(message_network_options options)
    : m_options(std::move(options))
    , m_reconnects(stableHash(toText(m_options.self)))
{
}

message_network::implementation::~implementation()
{
    stop();
}

void message_network::implementation::start()
{
    if (m_options.listen.port != 0)
        m_listener = listenAt(m_options.listen);
    m_epoll = socket_handle(epoll_create1(EPOLL_CLOEXEC));
    m_wake = socket_handle(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!m_epoll.isOpen() || !m_wake.isOpen())
        throw std::system_error(errno, std::generic_category(), "cannot open epoll or eventfd");

    epoll_event event {.events = EPOLLIN, .data = {.u64 = wakeId}};
    epoll_ctl(m_epoll.descriptor(), EPOLL_CTL_ADD, m_wake.descriptor(), &event);
    if (m_listener.isOpen()) {
        event.data.u64 = listenerId;
        epoll_ctl(m_epoll.descriptor(), EPOLL_CTL_ADD, m_listener.descriptor(), &event);
    }
    m_lastSweep = link_clock::now();
    m_thread = std::thread([this] { run(); });
}

void message_network::implementation::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    wake();
    m_thread.join();
    m_connections.clear();
    m_connectionsByPeer.clear();
    m_listener.reset();
    const absl::MutexLock lock(&m_mutex);
    m_stopping = false;
}

void message_network::implementation::setPeers(std::map<std::string, endpoint> schedulerByVm)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_newAddresses = std::move(schedulerByVm);
        m_addressesChanged = true;
    }
    wake();
}

void message_network::implementation::send(const node_id &to, const message &content)
{
    const std::string payload = encodeMessage(content);
    if (payload.size() > maxMessageBytes) {
        updateCounts([](network_counts &counts) { ++counts.messagesDropped; });
        return;
    }
    bool firstChange = false;
    {
        const absl::MutexLock lock(&m_mutex);
        auto &queued = m_outboxes.try_emplace(to, m_options.maxQueuedBytes).first->second;
        m_counts.messagesDropped += queued.push(encodeFrame(payload));
        firstChange = m_pendingPeers.empty();
        m_pendingPeers.insert(to);
    }
    if (firstChange)
        wake();
}

network_counts message_network::implementation::counts() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_counts;
}

void message_network::implementation::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    while (true) {
        const int count = epoll_wait(m_epoll.descriptor(), events.data(), eventsPerWait,
                                     static_cast<int>(sweepInterval.count()));
        for (int index = 0; index < count; ++index)
            handleEvent(events[index].data.u64, events[index].events);
        handleWake();
        const link_clock::time_point now = link_clock::now();
        if (now - m_lastSweep >= sweepInterval)
            sweep(now);
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping && m_pendingPeers.empty())
            return;
    }
}

void message_network::implementation::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(m_wake.descriptor(), &one, sizeof one);
}

void message_network::implementation::handleWake()
{
    std::set<node_id> pendingPeers;
    {
        const absl::MutexLock lock(&m_mutex);
        pendingPeers.swap(m_pendingPeers);
    }
    applyPeers();
    for (const node_id &peer : pendingPeers)
        sendQueued(peer);
}

void message_network::implementation::applyPeers()
{
    std::map<std::string, endpoint> previous;
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_addressesChanged)
            return;
        m_addressesChanged = false;
        previous = std::exchange(m_addresses, m_newAddresses);
    }
    for (const auto &[vm, address] : previous) {
        const auto kept = m_addresses.find(vm);
        if (kept != m_addresses.end() && kept->second == address)
            continue;
        const node_id peer {.role = node_role::Scheduler, .vm = vm};
        m_reconnects.remove(peer);
        closeDialled(peer);
    }
}

void message_network::implementation::closeDialled(const node_id &peer)
{
    const auto found = m_connectionsByPeer.find(peer);
    if (found == m_connectionsByPeer.end())
        return;
    const std::set<std::uint64_t> ids = found->second;
    for (const std::uint64_t id : ids) {
        const auto connection = m_connections.find(id);
        if (connection != m_connections.end() && connection->second.isDialled())
            close(id);
    }
}

void message_network::implementation::handleEvent(std::uint64_t id, std::uint32_t events)
{
    if (id == listenerId) {
        acceptPending();
        return;
    }
    if (id == wakeId) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t taken = read(m_wake.descriptor(), &count, sizeof count);
        return;
    }
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    peer_connection &connection = found->second;
    bool open = !connection.isConnecting || finishConnect(id, connection);
    if (open && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        open = readFrom(connection);
    if (open && (events & EPOLLOUT) != 0)
        open = writeTo(id, connection);
    if (!open)
        close(id);
}

void message_network::implementation::acceptPending()
{
    for (int index = 0; index < eventsPerWait; ++index) {
        socket_handle accepted = acceptFrom(m_listener);
        if (!accepted.isOpen())
            return;
        if (m_connections.size() >= m_options.maxConnections)
            continue;
        const std::uint64_t id = add(std::move(accepted), false, std::nullopt);
        if (!writeTo(id, m_connections.at(id)))
            close(id);
    }
}

void message_network::implementation::sweep(link_clock::time_point now)
{
    const bool wasPaused = now - m_lastSweep > maxSweepGap;
    m_lastSweep = now;
    if (wasPaused)
        return;
    std::vector<std::uint64_t> ids;
    for (const auto &entry : m_connections)
        ids.push_back(entry.first);
    for (const std::uint64_t id : ids) {
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
            continue;
        if (isExpired(found->second, now) || !sendKeepalive(id, found->second, now))
            close(id);
    }
}

bool message_network::implementation::isExpired(const peer_connection &connection,
                                                link_clock::time_point now)
{
    if (connection.isConnecting)
        return now - connection.openedAt > toLinkDuration(m_options.connectTimeout);
    if (now - connection.lastReceived <= toLinkDuration(m_options.idleTimeout))
        return false;
    updateCounts([](network_counts &counts) { ++counts.connectionsTimedOut; });
    return true;
}

bool message_network::implementation::sendKeepalive(std::uint64_t id, peer_connection &connection,
                                                    link_clock::time_point now)
{
    const auto interval = toLinkDuration(m_options.idleTimeout) / 3;
    const bool expected
        = connection.hasReceivedHello && now - connection.lastMessage <= interval * 2;
    if (!expected || now - connection.lastSent < interval || !connection.isDrained())
        return true;
    connection.enqueue(encodeFrame({}));
    return writeTo(id, connection);
}

std::uint64_t message_network::implementation::add(socket_handle socket, bool isDialled,
                                                   std::optional<node_id> peer)
{
    const std::uint64_t id = m_nextId++;
    const link_clock::time_point now = link_clock::now();
    const auto added = m_connections.try_emplace(id, std::move(socket), isDialled, now).first;
    peer_connection &connection = added->second;
    connection.peer = std::move(peer);
    connection.isConnecting = isDialled;
    connection.reader().setLimit(maxHelloBytes);
    connection.enqueue(encodeFrame(encodeHello(m_options.self)));
    if (connection.peer.has_value())
        m_connectionsByPeer[*connection.peer].insert(id);
    epoll_event event {.events = EPOLLIN, .data = {.u64 = id}};
    epoll_ctl(m_epoll.descriptor(), EPOLL_CTL_ADD, connection.descriptor(), &event);
    updateCounts([](network_counts &counts) { ++counts.connectionsOpened; });
    return id;
}

void message_network::implementation::updateEvents(std::uint64_t id, peer_connection &connection,
                                                   bool wantsWritable)
{
    connection.awaitsWritable = wantsWritable;
    epoll_event event {.events = EPOLLIN, .data = {.u64 = id}};
    if (wantsWritable)
        event.events |= EPOLLOUT;
    epoll_ctl(m_epoll.descriptor(), EPOLL_CTL_MOD, connection.descriptor(), &event);
}

void message_network::implementation::close(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    const std::optional<node_id> peer = found->second.peer;
    const bool failed = found->second.isDialled() && !found->second.hasReceivedHello;
    m_connections.erase(found);
    if (!peer.has_value())
        return;
    m_connectionsByPeer[*peer].erase(id);
    if (m_connectionsByPeer[*peer].empty())
        m_connectionsByPeer.erase(*peer);
    if (failed)
        m_reconnects.onFailure(*peer, link_clock::now());
    sendQueued(*peer);
}

bool message_network::implementation::finishConnect(std::uint64_t id, peer_connection &connection)
{
    if (!isConnected(connection.socket()))
        return false;
    connection.isConnecting = false;
    connection.lastReceived = link_clock::now();
    return writeTo(id, connection);
}

bool message_network::implementation::readFrom(peer_connection &connection)
{
    std::uint64_t received = 0;
    auto result = peer_connection::io_result::Complete;
    bool valid = true;
    for (int count = 0; count < readsPerEvent && valid; ++count) {
        result = connection.receive(received, link_clock::now());
        if (result != peer_connection::io_result::Complete)
            break;
        valid = handleFrames(connection);
    }
    updateCounts([&](network_counts &counts) {
        counts.bytesReceived += received;
        counts.connectionsMalformed += valid ? 0 : 1;
    });
    return valid && result != peer_connection::io_result::Closed;
}

bool message_network::implementation::handleFrames(peer_connection &connection)
{
    while (const auto payload = connection.reader().next()) {
        if (!connection.hasReceivedHello) {
            if (!handleHello(connection, *payload))
                return false;
            continue;
        }
        if (payload->empty())
            continue;
        const std::optional<message> content = decodeMessage(*payload);
        if (!content.has_value())
            return false;
        connection.lastMessage = connection.lastReceived;
        updateCounts([](network_counts &counts) { ++counts.messagesReceived; });
        m_options.onMessage(*connection.peer, *content);
    }
    return !connection.reader().isFaulty();
}

bool message_network::implementation::handleHello(peer_connection &connection,
                                                  std::string_view payload)
{
    const std::optional<node_id> peer = decodeHello(payload);
    if (!peer.has_value() || (connection.peer.has_value() && connection.peer != peer))
        return false;
    connection.hasReceivedHello = true;
    connection.reader().setLimit(maxMessageBytes);
    m_reconnects.onSuccess(*peer);
    if (!connection.peer.has_value()) {
        connection.peer = peer;
        for (const auto &[id, candidate] : m_connections) {
            if (&candidate == &connection)
                m_connectionsByPeer[*peer].insert(id);
        }
    }
    const absl::MutexLock lock(&m_mutex);
    m_pendingPeers.insert(*peer);
    return true;
}

bool message_network::implementation::writeTo(std::uint64_t id, peer_connection &connection)
{
    std::uint64_t written = 0;
    auto result = peer_connection::io_result::Complete;
    while (result == peer_connection::io_result::Complete) {
        result = connection.flush(written, link_clock::now());
        if (result != peer_connection::io_result::Complete)
            break;
        const bool active = connection.peer.has_value() && activeConnection(*connection.peer) == id;
        const std::string frames = active ? takeFrames(*connection.peer) : std::string();
        if (frames.empty())
            break;
        connection.enqueue(frames);
    }
    updateCounts([written](network_counts &counts) { counts.bytesSent += written; });
    const bool blocked = result == peer_connection::io_result::Blocked;
    if (blocked != connection.awaitsWritable)
        updateEvents(id, connection, blocked);
    return result != peer_connection::io_result::Closed;
}

std::uint64_t message_network::implementation::activeConnection(const node_id &peer) const
{
    const auto found = m_connectionsByPeer.find(peer);
    if (found == m_connectionsByPeer.end())
        return 0;
    const bool dialledIsPreferred = std::less<> {}(m_options.self, peer);
    std::uint64_t best = 0;
    int bestRank = -1;
    for (const std::uint64_t id : found->second) {
        const peer_connection &candidate = m_connections.at(id);
        const int rank = (candidate.hasReceivedHello ? 4 : 0) + (candidate.isConnecting ? 0 : 2)
            + (candidate.isDialled() == dialledIsPreferred ? 1 : 0);
        if (rank >= bestRank) {
            best = id;
            bestRank = rank;
        }
    }
    return best;
}

void message_network::implementation::sendQueued(const node_id &peer)
{
    const std::uint64_t id = activeConnection(peer);
    if (id == 0) {
        if (!dial(peer))
            dropFrames(peer);
        return;
    }
    peer_connection &connection = m_connections.at(id);
    if (!connection.isConnecting && !writeTo(id, connection))
        close(id);
}

bool message_network::implementation::dial(const node_id &peer)
{
    {
        const absl::MutexLock lock(&m_mutex);
        const auto queued = m_outboxes.find(peer);
        if (queued == m_outboxes.end() || queued->second.empty())
            return true;
    }
    const auto address = m_addresses.find(peer.vm);
    const link_clock::time_point now = link_clock::now();
    if (peer.role != node_role::Scheduler || address == m_addresses.end()
        || !m_reconnects.canDial(peer, now))
        return false;
    socket_handle dialledSocket = beginConnect(address->second);
    if (!dialledSocket.isOpen()) {
        m_reconnects.onFailure(peer, now);
        return false;
    }
    const std::uint64_t id = add(std::move(dialledSocket), true, peer);
    updateEvents(id, m_connections.at(id), true);
    return true;
}

std::string message_network::implementation::takeFrames(const node_id &peer)
{
    std::string frames;
    const absl::MutexLock lock(&m_mutex);
    const auto queued = m_outboxes.find(peer);
    while (queued != m_outboxes.end() && !queued->second.empty()
           && frames.size() < writeBatchBytes) {
        frames += queued->second.pop();
        ++m_counts.messagesSent;
    }
    return frames;
}

void message_network::implementation::dropFrames(const node_id &peer)
{
    const absl::MutexLock lock(&m_mutex);
    const auto queued = m_outboxes.find(peer);
    if (queued == m_outboxes.end())
        return;
    m_counts.messagesDropped += queued->second.clear();
    m_outboxes.erase(queued);
}

template <typename Change>
void message_network::implementation::updateCounts(Change change)
{
    const absl::MutexLock lock(&m_mutex);
    change(m_counts);
}

} // namespace quetzal
