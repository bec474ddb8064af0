#include "ownership_fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace quetzal {

namespace {

constexpr absl::Duration stepLength = absl::Milliseconds(50);
constexpr absl::Duration heartbeatInterval = absl::Milliseconds(500);
constexpr absl::Duration renewalRequestInterval = absl::Seconds(1);
constexpr absl::Duration unlistingLag = absl::Seconds(8);
constexpr absl::Duration listingLag = absl::Seconds(6);
/** Difference between the clock rates of neighbouring nodes; clockMargin covers 5 in 100. */
constexpr double clockRateStep = 0.008;
constexpr int clockRates = 5;
constexpr int middleClockRate = 2;
constexpr int dataCentres = 3;
constexpr int maxColdLimit = 5;

std::string vmName(int node)
{
    return "vm-" + std::to_string(node);
}

std::string dataCentreName(int index)
{
    return "dc-" + std::to_string(index % dataCentres);
}

} // namespace

ownership_fleet::ownership_fleet(int nodes, int shards, std::uint64_t seed)
    : m_random(seed)
    , m_nodes(nodes)
    , m_shards(shards)
{
    m_firstView = m_store.view();
    for (int node = 0; node < nodes; ++node)
        start(node);
}

shard_ownership_options ownership_fleet::options(int node, std::int64_t incarnation)
{
    return {.vm = vmName(node),
            .dataCentre = dataCentreName(node),
            .incarnation = incarnation,
            .keyPrefix = "/quetzal/test"};
}

absl::Time ownership_fleet::clockOf(int node) const
{
    const double rate = 1.0 + clockRateStep * (node % clockRates - middleClockRate);
    return absl::UnixEpoch() + (m_now - absl::UnixEpoch()) * rate;
}

bool ownership_fleet::isListed(int node) const
{
    return m_now >= m_nodes[node].listedAt && m_now < m_nodes[node].unlistedAt;
}

void ownership_fleet::run(absl::Duration duration)
{
    const absl::Time end = m_now + duration;
    while (m_now < end && m_violation.empty())
        step();
}

void ownership_fleet::step()
{
    m_now += stepLength;
    if (!m_storeDown)
        m_store.advance(m_now);
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (int node = 0; node < size(); ++node) {
        if (isRunning(node))
            stepNode(node);
    }
    checkEpochs();
    for (int shard = 0; shard < m_shards; ++shard)
        checkShard(shard);
}

void ownership_fleet::stepNode(int node)
{
    node_state &state = m_nodes[node];
    std::vector<scheduler_member> members;
    for (int other = 0; other < size(); ++other) {
        if (isListed(other))
            members.push_back({vmName(other), dataCentreName(other)});
    }
    state.ownership->setMembers(members);
    state.ownership->setShards(definitions());
    recordGrants(node);
    for (const store_request &request : state.ownership->advance(clockOf(node)))
        sendRequest(node, request);
    recordGrants(node);
    sendView(node);
    if (m_now >= state.heartbeatAt + heartbeatInterval)
        sendHeartbeats(node);
    if (state.ownership->shouldRequestRelayedRenewal(clockOf(node))
        && m_now >= state.renewalRequestedAt + renewalRequestInterval)
        sendRelays(node);
}

void ownership_fleet::send(int node, absl::Duration delay, handler handle)
{
    const std::int64_t incarnation = m_nodes[node].incarnation;
    auto deliver = [this, node, incarnation, handle = std::move(handle)] {
        node_state &state = m_nodes[node];
        if (state.ownership && state.incarnation == incarnation)
            handle(*state.ownership, clockOf(node));
    };
    m_events.emplace(m_now + delay, [this, node, deliver = std::move(deliver)] {
        if (m_nodes[node].paused)
            m_nodes[node].backlog.emplace_back(deliver);
        else
            deliver();
    });
}

void ownership_fleet::sendHeartbeats(int node)
{
    node_state &state = m_nodes[node];
    state.heartbeatAt = m_now;
    for (int peer = 0; peer < size(); ++peer) {
        if (peer == node || !reaches(node, peer))
            continue;
        const peer_heartbeat heartbeat {
            .vm = vmName(node),
            .incarnation = state.incarnation,
            .storeReachable = state.ownership->isStoreReachable(clockOf(node)),
            .stopping = state.ownership->isStopped(),
            .claims = state.ownership->claimsFor(vmName(peer), clockOf(node)),
        };
        const absl::Duration delay = absl::Milliseconds(m_random.below(400));
        send(peer, delay, [heartbeat](shard_ownership &ownership, absl::Time now) {
            ownership.onPeerHeartbeat(heartbeat, now);
        });
    }
}

void ownership_fleet::sendRelays(int node)
{
    m_nodes[node].renewalRequestedAt = m_now;
    const std::int64_t lease = m_nodes[node].ownership->lease();
    const absl::Time sentAt = clockOf(node);
    for (int peer = 0; peer < size(); ++peer) {
        const bool canRelay
            = peer != node && isRunning(peer) && reaches(node, peer) && reachesStore(peer);
        if (!canRelay)
            continue;
        const store_reply reply = m_store.perform(lease_renewal {.lease = lease}, m_now);
        send(node, absl::Milliseconds(m_random.below(300)),
             [reply, lease, sentAt](shard_ownership &ownership, absl::Time now) {
                 if (reply.outcome == store_outcome::Done)
                     ownership.onRelayedRenewal(sentAt, now);
                 else
                     ownership.onRelayedRenewalRejected(lease);
             });
        return;
    }
}

void ownership_fleet::sendRequest(int node, const store_request &request)
{
    m_events.emplace(m_now + m_storeDelay, [this, node, request] {
        if (!reachesStore(node))
            return;
        const store_reply reply = m_store.perform(request, m_now);
        if (m_nodes[node].answersToLose > 0) {
            --m_nodes[node].answersToLose;
            return;
        }
        send(node, m_storeDelay, [reply](shard_ownership &ownership, absl::Time now) {
            ownership.onStoreReply(reply, now);
        });
    });
}

void ownership_fleet::sendView(int node)
{
    node_state &state = m_nodes[node];
    if (!reachesStore(node) || state.sentRevision == m_store.view().revision)
        return;
    state.sentRevision = m_store.view().revision;
    send(node, state.viewDelay + absl::Milliseconds(20),
         [view = m_store.view()](shard_ownership &ownership, absl::Time now) {
             ownership.onStoreView(view, now);
         });
}

bool ownership_fleet::reaches(int from, int to) const
{
    return ((m_sides >> from) & 1U) == ((m_sides >> to) & 1U);
}

bool ownership_fleet::reachesStore(int node) const
{
    return !m_storeDown && !m_nodes[node].storeCut;
}

bool ownership_fleet::isRunning(int node) const
{
    return m_nodes[node].ownership != nullptr && !m_nodes[node].paused;
}

void ownership_fleet::start(int node)
{
    node_state &state = m_nodes[node];
    ++state.incarnation;
    state.ownership = std::make_unique<shard_ownership>(options(node, state.incarnation));
    state.paused = false;
    state.backlog.clear();
    state.sentRevision = 0;
    if (!isListed(node))
        state.listedAt = m_now + listingLag;
    state.unlistedAt = absl::InfiniteFuture();
}

void ownership_fleet::pause(int node)
{
    m_nodes[node].paused = m_nodes[node].ownership != nullptr;
}

void ownership_fleet::resume(int node)
{
    node_state &state = m_nodes[node];
    if (!std::exchange(state.paused, false) || !state.ownership)
        return;
    recordGrants(node);
    for (const std::function<void()> &deliver : std::exchange(state.backlog, {}))
        deliver();
}

void ownership_fleet::cutStore(int node, bool cut)
{
    m_nodes[node].storeCut = cut;
}

void ownership_fleet::loseAnswers(int node, int count)
{
    m_nodes[node].answersToLose = count;
}

void ownership_fleet::delayViews(int node, absl::Duration delay)
{
    m_nodes[node].viewDelay = delay;
}

void ownership_fleet::deliverOldView(int node)
{
    send(node, absl::ZeroDuration(), [this](shard_ownership &ownership, absl::Time now) {
        ownership.onStoreView(m_firstView, now);
    });
}

void ownership_fleet::kill(int node)
{
    node_state &state = m_nodes[node];
    state.ownership.reset();
    state.backlog.clear();
    state.paused = false;
    state.unlistedAt = std::min(state.unlistedAt, m_now + unlistingLag);
}

void ownership_fleet::restart(int node)
{
    kill(node);
    start(node);
}

void ownership_fleet::stop(int node)
{
    if (isRunning(node))
        m_nodes[node].ownership->beginStop(clockOf(node));
}

void ownership_fleet::hideShard(int shard, bool hidden)
{
    if (hidden)
        m_hidden.insert(shard);
    else
        m_hidden.erase(shard);
}

void ownership_fleet::heal()
{
    m_sides = 0;
    m_storeDown = false;
    m_storeDelay = absl::Milliseconds(2);
    m_hidden.clear();
    for (int node = 0; node < size(); ++node) {
        node_state &state = m_nodes[node];
        state.storeCut = false;
        state.answersToLose = 0;
        state.viewDelay = absl::ZeroDuration();
        if (state.paused)
            resume(node);
        if (!state.ownership || state.ownership->isStopped())
            restart(node);
    }
}

std::vector<shard_definition> ownership_fleet::definitions() const
{
    std::vector<shard_definition> definitions;
    for (int shard = 0; shard < m_shards; ++shard) {
        if (!m_hidden.contains(shard))
            definitions.push_back({shardName(shard), "service", dataCentreName(shard)});
    }
    return definitions;
}

std::vector<int> ownership_fleet::granters(int shard) const
{
    std::vector<int> nodes;
    for (int node = 0; node < size(); ++node) {
        if (isRunning(node) && epochOf(node, shard) > 0)
            nodes.push_back(node);
    }
    return nodes;
}

ownership_certainty ownership_fleet::certaintyOf(int node, int shard) const
{
    for (const owned_shard &owned : m_nodes[node].ownership->ownedShards(clockOf(node))) {
        if (owned.shard == shardName(shard))
            return owned.certainty;
    }
    QUETZAL_PRECONDITION(!"the node may not grant on the shard");
    return ownership_certainty::SucceedingUncertain;
}

std::int64_t ownership_fleet::epochOf(int node, int shard) const
{
    for (const owned_shard &owned : m_nodes[node].ownership->ownedShards(clockOf(node))) {
        if (owned.shard == shardName(shard))
            return owned.epoch;
    }
    return 0;
}

bool ownership_fleet::isStopped(int node) const
{
    return m_nodes[node].ownership->isStopped();
}

bool ownership_fleet::isSettled() const
{
    for (int shard = 0; shard < m_shards; ++shard) {
        const std::vector<int> nodes = granters(shard);
        if (nodes.size() != 1 || certaintyOf(nodes[0], shard) != ownership_certainty::Certain)
            return false;
    }
    return true;
}

void ownership_fleet::checkEpochs()
{
    for (const auto &[key, stored] : m_store.view().records) {
        const auto record = parseShardRecord(stored.value);
        if (!record)
            continue;
        std::int64_t &epoch = m_epochs[key];
        if (record->epoch < epoch)
            recordViolation(absl::StrCat("the epoch of ", key, " decreased"));
        epoch = record->epoch;
    }
}

void ownership_fleet::recordGrants(int node)
{
    for (const owned_shard &owned : m_nodes[node].ownership->ownedShards(clockOf(node))) {
        auto &times = m_grants[owned.shard];
        const std::pair<int, std::int64_t> process(node, m_nodes[node].incarnation);
        if (!times.contains(process))
            times[process].fill(absl::InfinitePast());
        times[process][static_cast<int>(owned.certainty)] = m_now;
    }
}

void ownership_fleet::checkShard(int shard)
{
    const absl::Duration lifetime = options(0, 0).grantLifetime;
    for (int limit = 1; limit <= maxColdLimit; ++limit) {
        int usable = 0;
        int certain = 0;
        std::string holders;
        for (const auto &[process, times] : m_grants[shardName(shard)]) {
            int share = 0;
            for (int kind = 0; kind < certaintyCount; ++kind) {
                if (times[kind] + lifetime <= m_now)
                    continue;
                share = std::max(share, coldShare(static_cast<ownership_certainty>(kind), limit));
                absl::StrAppend(&holders, " vm-", process.first, "/", process.second, ":", kind);
            }
            usable += share;
            certain += times[static_cast<int>(ownership_certainty::Certain)] == m_now ? 1 : 0;
        }
        if (usable > limit || certain > 1) {
            recordViolation(
                absl::StrCat(shardName(shard), ": ", usable, " of ", limit, " usable,", holders));
        }
    }
}

void ownership_fleet::recordViolation(const std::string &text)
{
    if (m_violation.empty())
        m_violation = absl::StrCat(absl::FormatDuration(m_now - absl::UnixEpoch()), " ", text);
}

} // namespace quetzal
