#include "apps/router/router_process.h"

#include "foundation/hashing/stable_hash.h"
#include "transport/platform/vm_list_client.h"
#include "transport/process/monotonic_clock.h"

#include <algorithm>
#include <map>
#include <utility>

namespace quetzal {

namespace {

constexpr absl::Duration tickInterval = absl::Milliseconds(5);
constexpr absl::Duration vmListInterval = absl::Milliseconds(500);
constexpr absl::Duration finishPollInterval = absl::Milliseconds(20);

/**
 * Returns the VMs of the schedulers in order of preference: this VM, its data centre, the others.
 *
 * VMs of the same rank are ordered by rendezvous hashing.
 */
std::vector<std::string> preferredSchedulers(const vm_list &list, const router_settings &settings)
{
    std::vector<entry_vm> entries = list.entries;
    const auto rank = [&settings](const entry_vm &entry) {
        const int distance = entry.vm == settings.vm  ? 0
            : entry.dataCentre == settings.dataCentre ? 1
                                                      : 2;
        return std::make_pair(distance, ~rendezvousWeight(settings.vm, entry.vm));
    };
    std::sort(entries.begin(), entries.end(),
              [&rank](const auto &left, const auto &right) { return rank(left) < rank(right); });
    std::vector<std::string> vms;
    for (const entry_vm &entry : entries)
        vms.push_back(entry.vm);
    return vms;
}

} // namespace

router_process::router_process(const router_settings &settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_node({.vm = settings.vm,
              .incarnation = m_incarnation,
              .maxWaitingRequests = settings.maxWaitingRequests})
    , m_network({.self = {node_role::Router, settings.vm},
                 .listen = {},
                 .onMessage = [this](const node_id &from, const message &content) {
                     handle([&](router_node &node, absl::Time now) {
                         node.onMessage(from, content, now);
                     });
                 }})
{
}

router_process::~router_process()
{
    if (!m_stop.HasBeenNotified())
        stop();
}

void router_process::start()
{
    m_network.start();
    m_threads.emplace_back([this] { tick(); });
    m_threads.emplace_back([this] { pollVmList(); });
}

void router_process::beginStop()
{
    handle([](router_node &node, absl::Time now) { node.beginStop(now); });
}

void router_process::waitUntilFinished(absl::Duration timeout)
{
    const absl::Time end = monotonicNow() + timeout;
    while (monotonicNow() < end) {
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_node.isFinished())
                return;
        }
        m_stop.WaitForNotificationWithTimeout(finishPollInterval);
    }
}

void router_process::stop()
{
    m_stop.Notify();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    m_network.stop();
}

std::shared_ptr<request_channel> router_process::submit(request_description &request)
{
    auto channel = std::make_shared<request_channel>();
    {
        const absl::MutexLock lock(&m_mutex);
        request.id = ++m_lastRequest;
    }
    {
        const absl::MutexLock lock(&m_channelsMutex);
        m_channels[request.id] = channel;
    }
    handle([&request](router_node &node, absl::Time now) { node.submit(request, now); });
    return channel;
}

void router_process::onProgress(request_id request, double units)
{
    const absl::MutexLock lock(&m_mutex);
    m_node.onProgress(request, units);
}

void router_process::onAttemptEnded(request_id request, const attempt_result &result)
{
    handle([&](router_node &node, absl::Time now) { node.onAttemptEnded(request, result, now); });
}

void router_process::onCallerDisconnected(request_id request)
{
    handle(
        [request](router_node &node, absl::Time now) { node.onCallerDisconnected(request, now); });
}

std::shared_ptr<const configuration_snapshot> router_process::configuration()
{
    const absl::MutexLock lock(&m_mutex);
    return m_node.configuration();
}

router_status router_process::status()
{
    const absl::MutexLock lock(&m_mutex);
    return m_node.status(monotonicNow());
}

std::string router_process::targetRequestId(request_id request, std::int64_t attempt) const
{
    return m_settings.vm + "-" + std::to_string(m_incarnation) + "-" + std::to_string(request) + "-"
        + std::to_string(attempt);
}

void router_process::handle(const std::function<void(router_node &, absl::Time)> &event)
{
    std::vector<router_action> actions;
    {
        const absl::MutexLock lock(&m_mutex);
        const absl::Time now = monotonicNow();
        event(m_node, now);
        m_node.advance(now);
        actions = m_node.takeActions();
    }
    perform(actions);
}

void router_process::perform(const std::vector<router_action> &actions)
{
    for (const router_action &action : actions) {
        if (const auto *outgoing = std::get_if<outgoing_message>(&action))
            m_network.send(outgoing->to, outgoing->content);
        else if (const auto *dispatch = std::get_if<dispatch_request>(&action))
            deliver(dispatch->request, *dispatch, false);
        else if (const auto *finish = std::get_if<finish_request>(&action))
            deliver(finish->request, *finish, true);
        else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
            const absl::MutexLock lock(&m_channelsMutex);
            const auto found = m_channels.find(cancel->request);
            if (found != m_channels.end())
                found->second->cancel();
        }
    }
}

void router_process::deliver(request_id request, request_decision decision, bool isFinal)
{
    const absl::MutexLock lock(&m_channelsMutex);
    const auto found = m_channels.find(request);
    if (found == m_channels.end())
        return;
    found->second->put(std::move(decision));
    if (isFinal)
        m_channels.erase(found);
}

void router_process::tick()
{
    while (!m_stop.WaitForNotificationWithTimeout(tickInterval))
        handle([](router_node &, absl::Time) {});
}

void router_process::pollVmList()
{
    const vm_list_client client(m_settings.vmList);
    do {
        const std::optional<vm_list> list = client.fetch();
        if (!list)
            continue;
        std::map<std::string, endpoint> peers;
        for (const entry_vm &entry : list->entries)
            peers[entry.vm] = entry.scheduler;
        m_network.setPeers(peers);
        const std::vector<std::string> schedulers = preferredSchedulers(*list, m_settings);
        handle([&schedulers](router_node &node, absl::Time) { node.setSchedulers(schedulers); });
    } while (!m_stop.WaitForNotificationWithTimeout(vmListInterval));
}

} // namespace quetzal
