#pragma once

#include "standins/common/execution_record.h"
#include "standins/common/standin_server.h"

#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace quetzal::standins {

/** Options of service_server. */
struct service_options
{
    std::string id {};
    std::string service {};
    /** Concurrent requests; further ones are refused as overloaded. */
    int slots = 16;
    /** Time that one request takes. */
    absl::Duration serviceTime = absl::Milliseconds(20);
};

/** Faults that a plain service shows on demand; counts go down as they are used. */
struct service_faults
{
    bool refuseAll = false;
    bool draining = false;
    bool unresponsive = false;
    int cutBeforeAnswer = 0;
    int crossAnswers = 0;
    int truncate = 0;
    absl::Duration delay {};
};

/** A plain service over HTTP that logs every execution by its request id. */
class service_server
{
public:
    explicit service_server(service_options options);

    /** Begins to listen; throws std::system_error when the address is taken. */
    void start(const std::string &ip, int port);
    /** The port in use. */
    int port() const { return m_server.port(); }
    /** Lets running requests end and stops. */
    void finish();

private:
    struct answer_plan
    {
        std::size_t record = 0;
        std::string responseRequestId {};
        bool cutBeforeAnswer = false;
        bool truncated = false;
        absl::Duration duration {};
    };

    void execute(const httplib::Request &request, httplib::Response &response);
    /** Logs the execution and uses up faults; false when the request is refused unrun. */
    bool admit(const httplib::Request &request, httplib::Response &response, answer_plan &plan);
    void answer(const httplib::Request &request, httplib::Response &response,
                const answer_plan &plan);
    void reportLoad(httplib::Response &response);
    void reportLog(httplib::Response &response);
    void reportCounts(httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    bool holdsIfUnresponsive();

    service_options m_options;
    standin_server m_server;
    std::mutex m_mutex;
    absl::Time m_started {};
    std::string m_instance;
    service_faults m_faults;
    std::vector<execution_record> m_log;
    int m_running = 0;
    int m_peakRunning = 0;
    std::int64_t m_refused = 0;
};

} // namespace quetzal::standins
