#pragma once

#include "standins/common/standin_server.h"
#include "standins/store/store_model.h"

#include <memory>
#include <mutex>
#include <string>

namespace quetzal::standins {

/** The keys of the platform's store, which several fronts may serve. */
struct platform_keys
{
    std::mutex mutex;
    store_model model;
    /** Changes up to this revision are no longer told to watches. */
    std::int64_t compactedUpTo = 0;

    /** Writes a key as an operator or a target does. */
    void write(const std::string &key, const std::string &value);
    void remove(const std::string &key);
};

/** How one front of the store behaves. */
enum class store_mode
{
    Up,
    /** Answers 503. */
    Busy,
    /** Answers 429. */
    TooManyRequests,
    /** Takes calls and never answers. */
    Unresponsive,
};

/** A front of the platform's store over HTTP: listings, watches, transactions and leases. */
class platform_store
{
public:
    explicit platform_store(std::shared_ptr<platform_keys> keys);

    void start(const std::string &ip, int port) { m_server.start(ip, port); }
    void finish();
    int port() const { return m_server.port(); }
    void setMode(store_mode mode) { m_mode = mode; }

private:
    void addRoutes();
    /** Refuses or holds the call as the mode says; true when it is dealt with. */
    bool applyFault(httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);
    void transact(const httplib::Request &request, httplib::Response &response);

    std::shared_ptr<platform_keys> m_keys;
    std::atomic<store_mode> m_mode {store_mode::Up};
    standin_server m_server;
};

} // namespace quetzal::standins
