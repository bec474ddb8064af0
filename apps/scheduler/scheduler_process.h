#pragma once

#include "apps/scheduler/scheduler_settings.h"
#include "scheduling/node/scheduler_node.h"
#include "transport/link/message_network.h"
#include "transport/platform/vm_list_client.h"
#include "transport/process/work_queue.h"
#include "transport/store/store_client.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace quetzal {

/** Runs a scheduler_node; connects it with the network, the store, the VM list and the targets. */
class scheduler_process
{
public:
    explicit scheduler_process(scheduler_settings settings);
    ~scheduler_process();
    scheduler_process(const scheduler_process &) = delete;
    scheduler_process &operator=(const scheduler_process &) = delete;

    /** Starts the threads; throws std::system_error when the address is in use. */
    void start();
    /** Hands over every shard, at most for the timeout, then stops the threads and the network. */
    void stop(absl::Duration timeout);
    scheduler_status status();
    network_counts counts() const { return m_network.counts(); }

private:
    /** Processes one event in the node and performs the resulting actions. */
    void handle(const std::function<void(scheduler_node &, absl::Time)> &event);
    void perform(std::vector<scheduler_action> actions);
    void tick();
    void pollVmList();
    /** Polls the load of the targets of this scheduler's shards; skips polls that still run. */
    void pollLoads();
    void pollLoad(const target_listing &target);

    scheduler_settings m_settings;
    absl::Mutex m_mutex;
    scheduler_node m_node ABSL_GUARDED_BY(m_mutex);
    message_network m_network;
    store_client m_storeCalls;
    absl::Mutex m_pollMutex;
    std::set<std::string> m_targetsBeingPolled ABSL_GUARDED_BY(m_pollMutex);
    absl::Notification m_stop;
    /** The members below run tasks that use those above; declared last to be destroyed first. */
    work_queue m_storeWork;
    work_queue m_loadWork;
    store_client m_storeWatch;
    std::vector<std::thread> m_threads;
};

} // namespace quetzal
