#include "apps/scheduler/scheduler_process.h"

#include "transport/platform/load_client.h"
#include "transport/process/monotonic_clock.h"

#include <map>
#include <utility>

namespace quetzal {

namespace {

constexpr absl::Duration tickInterval = absl::Milliseconds(5);
constexpr absl::Duration vmListInterval = absl::Milliseconds(500);
constexpr absl::Duration loadInterval = absl::Milliseconds(250);
constexpr int storeThreads = 2;
constexpr int loadThreads = 4;
constexpr std::size_t maxQueuedTasks = 256;

} // namespace

scheduler_process::scheduler_process(scheduler_settings settings)
    : m_settings(std::move(settings))
    , m_node({.vm = m_settings.vm,
              .dataCentre = m_settings.dataCentre,
              .incarnation = newIncarnation(),
              .keyPrefix = m_settings.keyPrefix()})
    , m_network({.self = {node_role::Scheduler, m_settings.vm},
                 .listen = m_settings.listen,
                 .onMessage =
                     [this](const node_id &from, const message &content) {
                         handle([&](scheduler_node &node, absl::Time now) {
                             node.onMessage(from, content, now);
                         });
                     }})
    , m_storeCalls({.address = m_settings.store, .keyPrefix = m_settings.keyPrefix()})
    , m_storeWork(storeThreads, maxQueuedTasks)
    , m_loadWork(loadThreads, maxQueuedTasks)
    , m_storeWatch({.address = m_settings.store, .keyPrefix = m_settings.keyPrefix()})
{
}

scheduler_process::~scheduler_process()
{
    if (!m_stop.HasBeenNotified())
        stop(absl::ZeroDuration());
}

void scheduler_process::start()
{
    m_network.start();
    m_storeWatch.watch(
        [this](const store_view &view) {
            handle([&view](scheduler_node &node, absl::Time now) { node.onStoreView(view, now); });
        },
        [] {});
    m_threads.emplace_back([this] { tick(); });
    m_threads.emplace_back([this] { pollVmList(); });
    m_threads.emplace_back([this] { pollLoads(); });
}

void scheduler_process::stop(absl::Duration timeout)
{
    handle([](scheduler_node &node, absl::Time now) { node.beginStop(now); });
    const absl::Time end = monotonicNow() + timeout;
    bool stopped = false;
    while (!stopped && monotonicNow() < end) {
        m_stop.WaitForNotificationWithTimeout(tickInterval);
        const absl::MutexLock lock(&m_mutex);
        stopped = m_node.isStopped();
    }
    m_stop.Notify();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    m_network.stop();
}

scheduler_status scheduler_process::status()
{
    const absl::MutexLock lock(&m_mutex);
    return m_node.status(monotonicNow());
}

void scheduler_process::handle(const std::function<void(scheduler_node &, absl::Time)> &event)
{
    std::vector<scheduler_action> actions;
    {
        const absl::MutexLock lock(&m_mutex);
        const absl::Time now = monotonicNow();
        event(m_node, now);
        m_node.advance(now);
        actions = m_node.takeActions();
    }
    perform(std::move(actions));
}

void scheduler_process::perform(std::vector<scheduler_action> actions)
{
    for (scheduler_action &action : actions) {
        if (const auto *outgoing = std::get_if<outgoing_message>(&action)) {
            m_network.send(outgoing->to, outgoing->content);
            continue;
        }
        const store_request request = std::get<store_request>(action);
        m_storeWork.add([this, request] {
            const store_reply reply = m_storeCalls.perform(request);
            handle(
                [&reply](scheduler_node &node, absl::Time now) { node.onStoreReply(reply, now); });
        });
    }
}

void scheduler_process::tick()
{
    while (!m_stop.WaitForNotificationWithTimeout(tickInterval))
        handle([](scheduler_node &, absl::Time) {});
}

void scheduler_process::pollVmList()
{
    const vm_list_client client(m_settings.vmList);
    do {
        const std::optional<vm_list> list = client.fetch();
        if (!list)
            continue;
        std::map<std::string, endpoint> peers;
        std::vector<scheduler_member> members;
        for (const entry_vm &entry : list->entries) {
            peers[entry.vm] = entry.scheduler;
            members.push_back({.vm = entry.vm, .dataCentre = entry.dataCentre});
        }
        m_network.setPeers(peers);
        handle([&](scheduler_node &node, absl::Time now) {
            node.setVmList(members, list->targets, now);
        });
    } while (!m_stop.WaitForNotificationWithTimeout(vmListInterval));
}

void scheduler_process::pollLoads()
{
    do {
        std::vector<target_listing> targets;
        {
            const absl::MutexLock lock(&m_mutex);
            targets = m_node.polledTargets();
        }
        for (const target_listing &target : targets) {
            const absl::MutexLock lock(&m_pollMutex);
            if (!m_targetsBeingPolled.insert(target.target).second)
                continue;
            if (!m_loadWork.add([this, target] { pollLoad(target); }))
                m_targetsBeingPolled.erase(target.target);
        }
    } while (!m_stop.WaitForNotificationWithTimeout(loadInterval));
}

void scheduler_process::pollLoad(const target_listing &target)
{
    const std::optional<target_load> load = load_client(parseEndpoint(target.address)).fetch();
    if (load)
        handle(
            [&](scheduler_node &node, absl::Time now) { node.onLoad(target.target, *load, now); });
    const absl::MutexLock lock(&m_pollMutex);
    m_targetsBeingPolled.erase(target.target);
}

} // namespace quetzal
