#pragma once

#include "apps/router/request_channel.h"
#include "apps/router/router_settings.h"
#include "routing/node/router_node.h"
#include "transport/link/message_network.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace quetzal {

/** Connects a router_node with the network, the VM list and the threads that serve callers. */
class router_process
{
public:
    explicit router_process(const router_settings &settings);
    ~router_process();
    router_process(const router_process &) = delete;
    router_process &operator=(const router_process &) = delete;

    void start();
    /** Takes no new request; running and waiting ones go on. */
    void beginStop();
    /** Waits until every request is finished and reported, or the time is up. */
    void waitUntilFinished(absl::Duration timeout);
    /** Ends the threads. */
    void stop();

    /** Submits a request, whose id it sets; decisions come through the channel. */
    std::shared_ptr<request_channel> submit(request_description &request);
    void onProgress(request_id request, double units);
    void onAttemptEnded(request_id request, const attempt_result &result);
    void onCallerDisconnected(request_id request);

    std::shared_ptr<const configuration_snapshot> configuration();
    router_status status();
    network_counts counts() const { return m_network.counts(); }
    /** An identifier for the target that no other router or start of this router uses. */
    std::string targetRequestId(request_id request, std::int64_t attempt) const;

private:
    void handle(const std::function<void(router_node &, absl::Time)> &event);
    void perform(const std::vector<router_action> &actions);
    void deliver(request_id request, request_decision decision, bool isFinal);
    void tick();
    void pollVmList();

    router_settings m_settings;
    std::int64_t m_incarnation;
    absl::Mutex m_mutex;
    router_node m_node ABSL_GUARDED_BY(m_mutex);
    request_id m_lastRequest ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Mutex m_channelsMutex;
    absl::flat_hash_map<request_id, std::shared_ptr<request_channel>>
        m_channels ABSL_GUARDED_BY(m_channelsMutex);
    message_network m_network;
    absl::Notification m_stop;
    std::vector<std::thread> m_threads;
};

} // namespace quetzal
