#pragma once

#include "apps/edge/event_log.h"
#include "apps/edge/target_pool.h"
#include "forwarding/node/forwarding_node.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace quetzal {

/** Counts of one edge process since its start. */
struct edge_counts
{
    std::int64_t connections = 0;
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t rejected = 0;
    std::int64_t failed = 0;
    std::int64_t callersGone = 0;
    std::int64_t sends = 0;
};

/** What the connections of one edge process share. */
struct edge_context
{
    boost::asio::io_context &loop;
    forwarding_node &node;
    target_pool &pool;
    event_log &log;
    edge_counts counts;
    /** Bytes of requests that are held in memory. */
    std::size_t heldBytes = 0;
    /** Above this, requests are rejected. */
    std::size_t mostHeldBytes = 0;
    /** True once the process was told to stop. */
    bool isStopping = false;
    /** True once new requests are rejected, because they might not end before the process does. */
    bool isClosed = false;
    std::uint64_t nextRequest = 1;
};

} // namespace quetzal
