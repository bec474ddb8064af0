#include "emulator/router/emulated_router.h"

#include <algorithm>
#include <utility>

namespace quetzal::bench {

namespace {

constexpr std::size_t configurationMirror = 0;
constexpr std::size_t targetMirror = 1;
constexpr std::size_t memberMirror = 2;

} // namespace

emulated_router::emulated_router(fleet_network &network, emulated_store &store,
                                 const store_documents &documents, emulated_router_options options)
    : m_network(network)
    , m_store(store)
    , m_documents(documents)
    , m_options(std::move(options))
    , m_node(m_options.node)
{
    if (m_options.processor)
        m_processor
            = std::make_unique<emulated_processor>(m_network.events(), *m_options.processor);
    std::size_t index = 0;
    for (const char *prefix : {configurationPrefix, targetPrefix, memberPrefix}) {
        const follower_options follower {.prefix = prefix,
                                         .position = index,
                                         .self = vm(),
                                         .startedAt = m_network.events().now(),
                                         .listsAtOnce = index == memberMirror};
        m_mirrors.push_back(std::make_unique<emulated_mirror>(m_network.events(), m_store, follower,
                                                              callbacksFor(index)));
        ++index;
    }
}

emulated_mirror_callbacks emulated_router::callbacksFor(std::size_t prefix)
{
    return {.onChanges =
                [this, prefix](const std::vector<key_change> &changes, bool first) {
                    if (prefix == configurationMirror)
                        onConfiguration(changes);
                    else if (prefix == targetMirror)
                        onTargets(changes, first);
                    else
                        onMembers();
                },
            .onCurrentChanged =
                [this, prefix](bool isCurrent) {
                    const absl::Time now = m_network.events().now();
                    if (prefix == targetMirror && isCurrent)
                        m_node.directory().onListAvailable(now);
                    else if (prefix == targetMirror)
                        m_node.directory().onListUnavailable(now);
                    else if (prefix == memberMirror && isCurrent) {
                        m_members.onRecordsReadable(now);
                        onMembers();
                    }
                },
            .hasPeers = [this] { return m_hasHeardPeer || peerCount() > 0; },
            .copyFromPeer =
                [this, prefix](const std::string &host, std::int64_t revision) {
                    return m_copyFromPeer ? m_copyFromPeer(host, prefix, revision) : copy_answer {};
                },
            .sendUpdate
            = [this](const mirror_update &update) { m_network.sendUpdate(vm(), update); },
            .runWhenActive =
                [this](std::function<void()> action) {
                    runWhenActive(std::move(action));
                }};
}

void emulated_router::start()
{
    for (const auto &mirror : m_mirrors)
        mirror->start();
    m_store.write(memberPrefix + vm(), vm());
    sendDigests();
}

void emulated_router::onTurnWork()
{
    if (!m_processor) {
        m_node.onTurnEnded();
        return;
    }
    if (std::exchange(m_isTurnEndPending, true))
        return;
    m_processor->post([this] {
        m_isTurnEndPending = false;
        m_node.onTurnEnded();
        return absl::ZeroDuration();
    });
}

bool emulated_router::isReady() const
{
    return m_isUp && !isStopping() && m_node.routes()
        && std::all_of(m_mirrors.begin(), m_mirrors.end(),
                       [](const auto &mirror) { return mirror->follower().mirror().isComplete(); });
}

void emulated_router::runWhenActive(std::function<void()> action)
{
    if (!m_isUp)
        return;
    if (m_isFrozen)
        m_deferred.push_back(std::move(action));
    else
        action();
}

void emulated_router::freeze()
{
    m_isFrozen = true;
}

void emulated_router::unfreeze()
{
    if (!std::exchange(m_isFrozen, false))
        return;
    m_unfrozenAt = m_network.events().now();
    for (const auto &action : std::exchange(m_deferred, {}))
        runWhenActive(action);
}

void emulated_router::onConfiguration(const std::vector<key_change> &changes)
{
    absl::flat_hash_set<std::string> evacuated;
    const std::string prefix = evacuationPrefix;
    for (const key_change &change : changes) {
        if (change.key == configurationKey && change.value)
            m_node.setRoutes(m_documents.tables.at(*change.value));
    }
    for (const stored_item &item : m_mirrors[configurationMirror]->follower().mirror().items()) {
        if (item.key.starts_with(prefix))
            evacuated.insert(item.key.substr(prefix.size()));
    }
    m_node.setEvacuated(evacuated, m_network.events().now());
}

void emulated_router::onTargets(const std::vector<key_change> &changes, bool first)
{
    const absl::Time now = m_network.events().now();
    for (const key_change &change : changes) {
        if (change.value)
            m_node.applyTarget(m_documents.records.at(*change.value), first, now);
        else
            m_node.removeTarget(change.key.substr(std::string(targetPrefix).size()), now);
    }
}

void emulated_router::onMembers()
{
    const absl::Time now = m_network.events().now();
    std::vector<member> records;
    const prefix_mirror &mirrored = m_mirrors[memberMirror]->follower().mirror();
    for (const stored_item &item : mirrored.items())
        records.push_back({.vm = item.value, .host = item.value, .revision = item.revision});
    m_members.apply(records, mirrored.revision(), now);
    router_group group {.self = vm(), .members = {vm()}};
    for (const member &entry : m_members.current(now)) {
        if (entry.vm != vm())
            group.members.push_back(entry.vm);
    }
    for (const auto &mirror : m_mirrors)
        mirror->setRouters(group.members);
    m_node.setRouters(std::move(group));
}

void emulated_router::sendDigests()
{
    if (!m_isUp)
        return;
    runWhenActive([this] {
        const absl::Time now = m_network.events().now();
        m_node.directory().onListConfirmed(m_mirrors[targetMirror]->follower().confirmedAt());
        m_network.sendDigest(vm(), nextDigest(now));
        if (auto digest = m_node.makeQuarantineDigest(now))
            m_network.sendDigest(vm(), *std::move(digest));
    });
    const absl::Duration interval = m_options.digestInterval.value_or(backlogInterval(peerCount()));
    m_network.events().after(interval, [this] { sendDigests(); });
}

peer_digest emulated_router::nextDigest(absl::Time now)
{
    const bool isLoadDue
        = m_options.digestInterval || m_digestSchedule.next(peerCount(), now) == digest_kind::Load;
    if (!isLoadDue)
        return m_node.makeBacklogDigest(now);
    std::vector<std::int64_t> lastChangeRevisions;
    for (std::size_t prefix = 0; prefix < m_mirrors.size(); ++prefix) {
        lastChangeRevisions.push_back(m_mirrors[prefix]->follower().mirror().lastChangeRevision());
        m_mirrors[prefix]->onPeerRevision(m_node.fleet().lastChangeRevision(prefix, now));
    }
    return m_node.makeDigest(std::move(lastChangeRevisions), now);
}

void emulated_router::onDigest(const peer_digest &digest)
{
    runWhenActive([this, digest] {
        m_hasHeardPeer = true;
        m_node.onDigest(digest, m_network.events().now());
    });
}

void emulated_router::onUpdate(const mirror_update &update)
{
    runWhenActive([this, update] {
        m_hasHeardPeer = true;
        m_mirrors.at(update.prefix)->onUpdate(update, update.vm);
    });
}

absl::Time emulated_router::startShutdown(absl::Duration grace)
{
    const shutdown_schedule schedule(m_network.events().now(), grace);
    m_node.beginShutdown(schedule);
    m_network.events().after(schedule.answersDueAt() - m_network.events().now(),
                             [this] { runWhenActive([this] { endRequests(); }); });
    return schedule.endsAt();
}

void emulated_router::endRequests()
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, record] : m_requests) {
        if (record.lifecycle->admitted())
            numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        if (const auto run = m_requests.find(number); run != m_requests.end())
            perform(number, run->second.lifecycle->onShutdownDue(m_network.events().now()));
    }
}

void emulated_router::end()
{
    m_isUp = false;
    for (auto &[number, record] : m_requests) {
        if (record.exchange != 0)
            m_network.cancel(vm(), record.address, record.exchange);
        record.sink(connection_broken {});
    }
    m_requests.clear();
}

std::optional<mirror_copy> emulated_router::copyAfter(std::size_t prefix,
                                                      std::int64_t revision) const
{
    return m_isUp && !m_isFrozen ? m_mirrors[prefix]->copyAfter(revision) : std::nullopt;
}

} // namespace quetzal::bench
