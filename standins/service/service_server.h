#pragma once

#include "standins/common/execution_record.h"
#include "standins/common/standin_server.h"

#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace quetzal::standins {

/** Options of a service_server. */
struct service_options
{
    std::string id {};
    std::string service {};
    /** Maximum of concurrent requests; further ones are rejected as overloaded. */
    int slots = 16;
    /** Execution time of a request. */
    absl::Duration serviceTime = absl::Milliseconds(20);
};

/** Faults that a service simulates on demand; each use decrements a counted fault. */
struct service_faults
{
    /** Rejects every request as overloaded. */
    bool refuseAll = false;
    /** Rejects every request as draining and reports draining in the load. */
    bool draining = false;
    /** Accepts calls but never answers them, except on the control routes. */
    bool unresponsive = false;
    /** Number of answers to drop: the request runs, but the connection closes unanswered. */
    int cutBeforeAnswer = 0;
    /** Number of answers that carry the id of another request. */
    int crossAnswers = 0;
    /** Number of answers to truncate. */
    int truncate = 0;
    /** Added to the execution time. */
    absl::Duration delay {};
};

/** A service over HTTP that logs every execution with its request id. */
class service_server
{
public:
    explicit service_server(service_options options);

    /** Starts listening; throws std::system_error if the address cannot be bound. */
    void start(const std::string &ip, int port);
    /** Returns the port that the server listens on. */
    int port() const { return m_server.port(); }
    /** Waits for running handlers and shuts the server down. */
    void finish();

private:
    /** How a request is answered, faults included; fixed when the request is admitted. */
    struct answer_plan
    {
        /** Index into the execution log. */
        std::size_t record = 0;
        /** The request id that the answer carries; another one for a crossed answer. */
        std::string responseRequestId {};
        bool cutBeforeAnswer = false;
        bool truncated = false;
        absl::Duration duration {};
    };

    void execute(const httplib::Request &request, httplib::Response &response);
    /** Logs the execution and fills the plan; returns false if the request was rejected. */
    bool admit(const httplib::Request &request, httplib::Response &response, answer_plan &plan);
    void answer(const httplib::Request &request, httplib::Response &response,
                const answer_plan &plan);
    void reportLoad(httplib::Response &response);
    void reportLog(httplib::Response &response);
    void reportCounts(httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    /**
     * While the service is set unresponsive, blocks the handler and closes the connection without
     * an answer. Returns whether it did so.
     */
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
