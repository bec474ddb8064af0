#pragma once

#include "apps/admin/admin_settings.h"
#include "apps/admin/environment_store.h"
#include "apps/admin/fleet_client.h"
#include "configuration/administration/administration_api.h"
#include "foundation/random/random_source.h"
#include "telemetry/telemetry.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <httplib.h>

#include <string>
#include <thread>

namespace quetzal {

/** Serves the administration API over HTTP. */
class admin_server
{
public:
    /** The seed must differ between processes; it makes the ids of writes unique. */
    admin_server(admin_settings settings, std::uint64_t seed, logger &log);
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    /** Starts listening; throws std::system_error if the address is in use. */
    void start();
    /** Returns the listening port; with port 0 in the settings the system chooses one. */
    int port() const { return m_port; }
    /** Answers the requests already received, then stops. */
    void stop();

private:
    void install();
    void answer(const httplib::Request &httpRequest, httplib::Response &httpResponse);
    /**
     * Adds the fleet's state to the answer to an accepted change.
     *
     * Waits until the state is settled, at most for the request's waitMs.
     */
    void addFleetReport(const administration_request &request, administration_answer &answer);
    std::string newWriteId();

    const admin_settings m_settings;
    logger &m_log;
    environment_store m_store;
    fleet_client m_fleet;
    administration_api<environment_store, fleet_client> m_api;
    absl::Mutex m_mutex;
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    absl::Notification m_stop;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace quetzal
