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

/** Runs a router_node; connects it with the network, the VM list and the caller threads. */
class router_process
{
public:
    explicit router_process(const router_settings &settings);
    ~router_process();
    router_process(const router_process &) = delete;
    router_process &operator=(const router_process &) = delete;

    /** Starts the network and the threads that advance the node and poll the VM list. */
    void start();
    /** Starts the shutdown: new requests are rejected, running and waiting ones continue. */
    void beginStop();
    /** Waits until every request is finished and reported, at most for the timeout. */
    void waitUntilFinished(absl::Duration timeout);
    /** Stops the threads and the network. */
    void stop();

    /** Sets the request's id and submits it; the returned channel delivers the decisions. */
    std::shared_ptr<request_channel> submit(request_description &request);
    /** Reports the units that the running attempt of a request has streamed so far. */
    void onProgress(request_id request, double units);
    /** Reports the end of the running attempt of a request. */
    void onAttemptEnded(request_id request, const attempt_result &result);
    /** Reports that the caller of a request closed its connection. */
    void onCallerDisconnected(request_id request);

    /** Returns the active configuration, or null before the first one was received. */
    std::shared_ptr<const configuration_snapshot> configuration();
    router_status status();
    network_counts counts() const { return m_network.counts(); }
    /** Returns a request id for the target, unique across routers and restarts of this router. */
    std::string targetRequestId(request_id request, std::int64_t attempt) const;

private:
    /** Processes one event in the node and performs the resulting actions. */
    void handle(const std::function<void(router_node &, absl::Time)> &event);
    void perform(const std::vector<router_action> &actions);
    /** Puts a decision into the channel of its request; the final one removes the channel. */
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
