#pragma once

#include "apps/edge/target_connection.h"
#include "directory/target/target_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace quetzal {

/** Requirements of an exchange on its connection. */
struct connection_request
{
    /** Identifier of the target, by which connections are pooled. */
    std::string target;
    network_address address;
    /** Bound of open connections to the target; 0 for no bound. */
    int maxConnections = 0;
    /** Connections that were idle for longer are not reused. */
    absl::Duration maxIdleTime;
};

/** Pool of connections to all targets; idle connections are kept for reuse. */
class target_pool
{
public:
    explicit target_pool(boost::asio::io_context &loop);

    /** Returns an idle or a new connection; null if the bound of open connections is reached. */
    std::shared_ptr<target_connection> acquire(const connection_request &request, absl::Time now);
    /** Returns a connection to the pool after its exchange; closes it if it is not reusable. */
    void release(const std::string &target, const std::shared_ptr<target_connection> &connection,
                 absl::Time now);
    /** Closes all idle connections to a target. */
    void closeIdle(const std::string &target);
    /** Closes idle connections before the targets do; must be called periodically. */
    void closeExpired(absl::Time now);
    /** Returns the number of connections opened since the start. */
    std::int64_t openedCount() const { return m_openedCount; }

private:
    struct idle_connection
    {
        std::shared_ptr<target_connection> connection;
        absl::Time since;
    };
    struct target_connections
    {
        std::vector<idle_connection> idle;
        int open = 0;
    };

    boost::asio::io_context &m_loop;
    absl::flat_hash_map<std::string, std::shared_ptr<target_connections>> m_targets;
    std::int64_t m_openedCount = 0;
};

} // namespace quetzal
