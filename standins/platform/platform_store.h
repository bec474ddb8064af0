#pragma once

#include "standins/common/standin_server.h"
#include "standins/store/store_model.h"

#include <memory>
#include <mutex>
#include <string>

namespace quetzal::standins {

/** The contents of the platform's store, which several servers may share. */
struct platform_keys
{
    std::mutex mutex;
    store_model model;
    /** Watches that start before this revision are answered 410. */
    std::int64_t compactedUpTo = 0;
    /** Rises each time that the store comes back from an older copy. */
    std::int64_t era = 0;

    /** Returns to the contents of an older copy, without its history. */
    void restore(const store_model &copy);

    /** Writes a key unconditionally, as an operator or a target does. */
    void write(const std::string &key, const std::string &value);
    /** Deletes a key. */
    void remove(const std::string &key);
};

/** How one server of the store answers. */
enum class store_mode
{
    /** Answers regularly. */
    Up,
    /** Answers 503. */
    Busy,
    /** Answers 429. */
    TooManyRequests,
    /** Accepts calls and does not answer them. */
    Unresponsive,
};

/** A server of the platform's store over HTTP: listings, long-poll watches and transactions. */
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
    /** Rejects or blocks the call as the mode requires; returns true if the call is finished. */
    bool applyFault(httplib::Response &response);
    void list(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);
    void transact(const httplib::Request &request, httplib::Response &response);
    /** Answers a call; the keys must be locked. */
    void answer(httplib::Response &response, const nlohmann::json &body, int status = 200);

    std::shared_ptr<platform_keys> m_keys;
    std::atomic<store_mode> m_mode {store_mode::Up};
    standin_server m_server;
};

} // namespace quetzal::standins
