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

/** Which connection an exchange needs. */
struct connection_request
{
    /** The target's identifier, which tells its lives apart. */
    std::string target;
    network_address address;
    /** Connections that may be open to the target; 0 for no limit. */
    int mostConnections = 0;
    /** A connection that was idle for longer is not used. */
    absl::Duration maxIdleTime;
};

/** The connections to all targets; idle ones are kept for the next exchange. */
class target_pool
{
public:
    explicit target_pool(boost::asio::io_context &loop);

    /** A connection for an exchange; null when the limit is reached. */
    std::shared_ptr<target_connection> acquire(const connection_request &request, absl::Time now);
    /** Keeps a connection whose exchange is over, if it can be used again. */
    void release(const std::string &target, const std::shared_ptr<target_connection> &connection,
                 absl::Time now);
    /** Closes idle connections to a target. */
    void closeIdle(const std::string &target);
    /** Closes idle connections before the targets do; to be called from time to time. */
    void closeExpired(absl::Time now);
    /** Connections that were opened since the start. */
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
