#include "replica_fleet/replica_fleet.h"

#include "directory/mirror/mirror_codec.h"
#include "exchange/interval/digest_interval.h"
#include "exchange/peers/peer_list.h"
#include "replication/copy/transfer_limiter.h"
#include "replication/update/update_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quetzal::bench {

namespace {

constexpr std::array<const char *, 3> prefixes {"op/", "servers/", "members/"};
constexpr std::size_t memberPrefix = 2;

/** How long a router of a large fleet sends digests; the followers need them at their start only.
 */
constexpr absl::Duration digestTime = absl::Seconds(1);
constexpr std::size_t maxVmsWithDigests = 12;

std::string nameOf(int vm)
{
    return "vm-" + std::to_string(vm);
}

int vmOf(const std::string &name)
{
    return std::stoi(name.substr(nameOf(0).size() - 1));
}

} // namespace

/** One run of the process of a VM. */
struct replica_fleet::router
{
    int vm = 0;
    bool isUp = true;
    bool isPaused = false;
    bool isIsolated = false;
    bool isMuted = false;
    absl::Time startedAt;
    peer_list peers;
    transfer_limiter transfers;
    /** When the link has sent all copies so far. */
    absl::Time linkFreeAt = absl::InfinitePast();
    bool sendsDigests = false;
    std::vector<std::string> members;
    std::vector<std::unique_ptr<emulated_mirror>> mirrors;
    std::vector<std::function<void()>> deferred;
    /** The highest revision of each key that this run has seen. */
    absl::flat_hash_map<std::string, std::int64_t> newest;

    void runWhenActive(std::function<void()> action)
    {
        if (!isUp)
            return;
        if (isPaused)
            deferred.push_back(std::move(action));
        else
            action();
    }
};

replica_fleet::replica_fleet(const replica_fleet_options &options)
    : m_events(absl::UnixEpoch() + absl::Hours(1))
    , m_store(m_events)
    , m_options(options)
    , m_random(options.seed)
{
    m_store.write(configurationKey, "1");
    m_routers.resize(static_cast<std::size_t>(options.vms));
    for (int vm = 0; vm < options.vms; ++vm)
        start(vm);
}

replica_fleet::~replica_fleet() = default;

bool replica_fleet::chance(double fraction)
{
    constexpr double range = 1e6;
    return static_cast<double>(m_random() % static_cast<std::uint64_t>(range)) < fraction * range;
}

void replica_fleet::start(int vm)
{
    auto &slot = m_routers[static_cast<std::size_t>(vm)];
    if (slot)
        return;
    slot = std::make_unique<router>();
    slot->vm = vm;
    slot->peers = peer_list(nameOf(vm));
    slot->transfers = transfer_limiter(m_options.linkMbps);
    slot->startedAt = m_events.now();
    buildMirrors(*slot);
    constexpr int maxStartDelayMs = 300;
    const auto delay = absl::Milliseconds(static_cast<int>(m_random() % maxStartDelayMs));
    m_events.after(delay, [this, owner = slot.get()] {
        if (!owner->isUp)
            return;
        registerRouter(*owner);
        for (const auto &mirror : owner->mirrors)
            mirror->start();
    });
}

void replica_fleet::registerRouter(const router &owner)
{
    m_store.write(prefixes[memberPrefix] + nameOf(owner.vm), nameOf(owner.vm));
}

void replica_fleet::buildMirrors(router &owner)
{
    const auto runWhenActive = [&owner](std::function<void()> action) {
        owner.runWhenActive(std::move(action));
    };
    for (std::size_t prefix = 0; prefix < prefixes.size(); ++prefix) {
        const follower_options options {.prefix = prefixes[prefix],
                                        .position = prefix,
                                        .self = nameOf(owner.vm),
                                        .startedAt = m_events.now(),
                                        .listsAtOnce = prefix == memberPrefix};
        owner.mirrors.push_back(std::make_unique<emulated_mirror>(
            m_events, m_store, options,
            emulated_mirror_callbacks {
                .onChanges = [this, &owner, prefix](const auto &changes,
                                                    bool) { onChanges(owner, prefix, changes); },
                .onCurrentChanged = [](bool) {},
                .hasPeers = [&owner] { return owner.peers.hasPeers(); },
                .copyFromPeer =
                    [this, &owner, prefix](const std::string &host, std::int64_t revision) {
                        return copyFor(owner, host, prefix, revision);
                    },
                .sendUpdate
                = [this, &owner](const mirror_update &update) { send(owner.vm, update); },
                .runWhenActive = runWhenActive}));
    }
}

void replica_fleet::onChanges(router &owner, std::size_t prefix,
                              const std::vector<key_change> &changes)
{
    for (const key_change &change : changes) {
        std::int64_t &newest = owner.newest[change.key];
        if (change.revision < newest)
            m_violations.push_back(nameOf(owner.vm) + " returned to an older " + change.key);
        newest = std::max(newest, change.revision);
    }
    if (prefix == memberPrefix)
        updateMembers(owner);
}

void replica_fleet::updateMembers(router &owner)
{
    const bool knewOthers = owner.members.size() > 1;
    owner.members.clear();
    const std::string start = prefixes[memberPrefix];
    for (const stored_item &item : owner.mirrors[memberPrefix]->follower().mirror().items())
        owner.members.push_back(item.key.substr(start.size()));
    if (std::find(owner.members.begin(), owner.members.end(), nameOf(owner.vm))
        == owner.members.end())
        registerRouter(owner);
    std::vector<std::string> others = owner.members;
    std::erase(others, nameOf(owner.vm));
    owner.peers.setMembers(std::move(others));
    for (const auto &mirror : owner.mirrors)
        mirror->setRouters(owner.members);
    if (!knewOthers && !std::exchange(owner.sendsDigests, true))
        sendDigests(owner);
}

void replica_fleet::send(int from, const mirror_update &update)
{
    for (const std::string &bytes : encodeUpdate(update, m_options.maxUpdateBytes)) {
        sendToMembers(*m_routers[static_cast<std::size_t>(from)],
                      [part = decodeUpdate(bytes).value()](router &to) {
                          to.mirrors[part.prefix]->onUpdate(part, part.vm);
                      });
    }
}

void replica_fleet::sendDigests(router &owner)
{
    const bool isDone = m_routers.size() > maxVmsWithDigests
        && m_events.now() > owner.startedAt + m_options.digestTime;
    if (!owner.isUp || isDone)
        return;
    owner.runWhenActive([this, &owner] {
        std::vector<std::int64_t> revisions;
        for (const auto &mirror : owner.mirrors)
            revisions.push_back(mirror->follower().mirror().lastChangeRevision());
        sendToMembers(owner, [revisions](router &to) {
            for (std::size_t prefix = 0; prefix < revisions.size(); ++prefix)
                to.mirrors[prefix]->onPeerRevision(revisions[prefix]);
        });
    });
    m_events.after(backlogInterval(owner.members.size()), [this, &owner] { sendDigests(owner); });
}

void replica_fleet::sendToMembers(const router &sender,
                                  const std::function<void(router &)> &receive)
{
    if (sender.isIsolated || sender.isMuted)
        return;
    for (const std::string &member : sender.members) {
        const int vm = vmOf(member);
        const int copies = chance(m_options.datagrams.doubledFraction) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const double part = static_cast<double>(m_random() % 1000) / 1000.0;
            const bool isLost = chance(m_options.datagrams.lostFraction);
            if (vm == sender.vm || isLost)
                continue;
            m_events.after(m_options.datagrams.maxDelay * part,
                           [this, vm, from = sender.vm, receive] {
                               router *to = m_routers[static_cast<std::size_t>(vm)].get();
                               if (to == nullptr || to->isIsolated)
                                   return;
                               to->runWhenActive([this, to, from, receive] {
                                   to->peers.onHeard(nameOf(from), m_events.now());
                                   receive(*to);
                               });
                           });
        }
    }
}

copy_answer replica_fleet::copyFor(router &owner, const std::string &host, std::size_t prefix,
                                   std::int64_t revision)
{
    copy_answer answer;
    const auto chosen = host.empty() ? owner.peers.next(m_events.now()) : std::optional(host);
    if (!chosen || owner.isIsolated)
        return answer;
    router *peer = m_routers[static_cast<std::size_t>(vmOf(*chosen))].get();
    const bool isReachable = peer == nullptr || (!peer->isPaused && !peer->isIsolated);
    answer.isAnswered = isReachable && !m_areCopiesWithheld && (peer == nullptr || !peer->isMuted);
    if (answer.isAnswered && peer != nullptr)
        answer.copy = peer->mirrors[prefix]->copyAfter(revision);
    if (answer.copy)
        transfer(*peer, answer);
    return answer;
}

void replica_fleet::transfer(router &giver, copy_answer &answer)
{
    const std::size_t bytes = encodeMirror(*answer.copy).size();
    const auto sent = giver.transfers.tryBegin(bytes);
    if (!sent) {
        answer.copy.reset();
        return;
    }
    constexpr double bitsPerByte = 8.0;
    const absl::Duration time
        = absl::Microseconds(static_cast<double>(bytes) * bitsPerByte / m_options.linkMbps);
    giver.linkFreeAt = std::max(giver.linkFreeAt, m_events.now()) + time;
    answer.transferTime = giver.linkFreeAt - m_events.now();
    m_events.after(answer.transferTime, [sent] {});
}

void replica_fleet::kill(int vm)
{
    auto &slot = m_routers[static_cast<std::size_t>(vm)];
    if (!slot)
        return;
    slot->isUp = false;
    m_ended.push_back(std::move(slot));
}

void replica_fleet::pause(int vm)
{
    if (m_routers[static_cast<std::size_t>(vm)])
        m_routers[static_cast<std::size_t>(vm)]->isPaused = true;
}

void replica_fleet::resume(int vm)
{
    router *owner = m_routers[static_cast<std::size_t>(vm)].get();
    if (owner == nullptr || !std::exchange(owner->isPaused, false))
        return;
    for (const auto &action : std::exchange(owner->deferred, {}))
        owner->runWhenActive(action);
}

void replica_fleet::isolate(int vm, bool isIsolated)
{
    if (m_routers[static_cast<std::size_t>(vm)])
        m_routers[static_cast<std::size_t>(vm)]->isIsolated = isIsolated;
}

void replica_fleet::muteVm(int vm, bool isMuted)
{
    if (m_routers[static_cast<std::size_t>(vm)])
        m_routers[static_cast<std::size_t>(vm)]->isMuted = isMuted;
}

bool replica_fleet::isRunning(int vm) const
{
    const auto &slot = m_routers[static_cast<std::size_t>(vm)];
    return slot && !slot->isPaused;
}

bool replica_fleet::isReady(int vm) const
{
    const auto &slot = m_routers[static_cast<std::size_t>(vm)];
    return slot && std::all_of(slot->mirrors.begin(), slot->mirrors.end(), [](const auto &mirror) {
               return mirror->follower().mirror().isComplete();
           });
}

std::optional<std::string> replica_fleet::valueAt(int vm, const std::string &key) const
{
    const auto &slot = m_routers[static_cast<std::size_t>(vm)];
    if (!slot)
        return std::nullopt;
    for (const auto &mirror : slot->mirrors) {
        for (const stored_item &item : mirror->follower().mirror().items()) {
            if (item.key == key)
                return item.value;
        }
    }
    return std::nullopt;
}

bool replica_fleet::isConverged() const
{
    const std::vector<stored_item> expected = m_store.items();
    for (const auto &slot : m_routers) {
        if (!slot || slot->isPaused)
            continue;
        std::vector<stored_item> held;
        for (const auto &mirror : slot->mirrors) {
            const auto items = mirror->follower().mirror().items();
            held.insert(held.end(), items.begin(), items.end());
        }
        std::sort(held.begin(), held.end(),
                  [](const auto &left, const auto &right) { return left.key < right.key; });
        if (held != expected)
            return false;
    }
    return true;
}

std::size_t replica_fleet::rankOf(int vm, std::size_t prefix) const
{
    reader_order order(prefixes[prefix], nameOf(vm));
    order.setRouters(m_routers[static_cast<std::size_t>(vm)]->members);
    return order.rank();
}

} // namespace quetzal::bench
