#pragma once

#include "standins/common/standin_server.h"
#include "standins/store/store_model.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace quetzal::standins {

/** Faults that the store simulates on demand. */
struct store_faults
{
    /** Closes every connection without performing or answering the request; watches end. */
    bool down = false;
    /** Delay before a request is performed. */
    absl::Duration delay {};
    /** Number of write and lease calls that take effect but whose connection closes unanswered. */
    int loseAnswers = 0;
    /** Maximum of writes in one second; further ones are answered 429. 0 for no limit. */
    int limitWritesPerSecond = 0;
};

/** Number of calls of each kind since the start; an open watch counts as one. */
struct store_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t leaseCalls = 0;
    std::int64_t watches = 0;
    /** Writes rejected by limitWritesPerSecond. */
    std::int64_t refused = 0;
    std::int64_t answersLost = 0;

    bool operator==(const store_counts &) const = default;
};

/** Serves a store_model over HTTP in the format of etcd's v3 JSON gateway. */
class store_server
{
public:
    store_server();

    /** Starts listening; throws std::system_error if the address cannot be bound. */
    void start(const std::string &ip, int port);
    /** Returns the port that the server listens on. */
    int port() const { return m_server.port(); }
    /** Ends the watches, waits for running handlers and shuts the server down. */
    void finish();

private:
    /** Body and status of an answer; computed while m_mutex is held. */
    struct store_answer
    {
        nlohmann::json body;
        int status = 200;
    };
    using operation = std::function<store_answer(const nlohmann::json &body, absl::Time now)>;
    enum class call_kind
    {
        Read,
        Write,
        Lease,
    };

    /** Adds a route whose calls are subject to the faults and counted by kind. */
    void addRoute(const std::string &path, call_kind kind, operation perform);
    void addKeyRoutes();
    void addLeaseRoutes();
    void addControlRoutes();
    void handle(const httplib::Request &request, httplib::Response &response, call_kind kind,
                const operation &perform);
    /** Counts a write; true if it exceeds limitWritesPerSecond. */
    bool exceedsWriteLimit(absl::Time now);
    bool isDown();
    void watch(const httplib::Request &request, httplib::Response &response);
    /**
     * Writes the events from nextRevision on as one line and advances nextRevision. Returns false
     * if the watch has ended.
     */
    bool writeEvents(const key_range &range, std::int64_t &nextRevision, httplib::DataSink &sink);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    void reportCounts(httplib::Response &response);

    store_answer put(const nlohmann::json &body, absl::Time now);
    store_answer remove(const nlohmann::json &body, absl::Time now);
    store_answer transact(const nlohmann::json &body, absl::Time now);

    standin_server m_server;
    std::mutex m_mutex;
    store_model m_model;
    store_faults m_faults;
    store_counts m_counts;
    std::int64_t m_writeSecond = 0;
    int m_writesThisSecond = 0;
};

} // namespace quetzal::standins
