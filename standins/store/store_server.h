#pragma once

#include "standins/common/standin_server.h"
#include "standins/store/store_model.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace quetzal::standins {

/** Faults that the store shows on demand. */
struct store_faults
{
    /** Every request is closed without an answer and has no effect; watches end. */
    bool down = false;
    /** Delay before a request takes effect. */
    absl::Duration delay {};
    /** The next writes take effect, but their connections are closed without an answer. */
    int loseAnswers = 0;
    /** Further writes within a second are refused as too many; 0 for no limit. */
    int limitWritesPerSecond = 0;
};

/** Calls of each sort since the start; a waiting watch counts as one. */
struct store_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t leaseCalls = 0;
    std::int64_t watches = 0;
    std::int64_t refused = 0;
    std::int64_t answersLost = 0;

    bool operator==(const store_counts &) const = default;
};

/** The key-value service over etcd's v3 JSON gateway. */
class store_server
{
public:
    store_server();

    /** Begins to listen; throws std::system_error when the address is taken. */
    void start(const std::string &ip, int port);
    /** The port in use. */
    int port() const { return m_server.port(); }
    void finish();

private:
    /** The answer's body and status to a request, computed under the lock. */
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

    void addRoute(const std::string &path, call_kind kind, operation perform);
    void addKeyRoutes();
    void addLeaseRoutes();
    void addControlRoutes();
    void handle(const httplib::Request &request, httplib::Response &response, call_kind kind,
                const operation &perform);
    bool exceedsWriteLimit(absl::Time now);
    bool isDown();
    void watch(const httplib::Request &request, httplib::Response &response);
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
