#pragma once

#include "apps/edge/edge_metrics.h"
#include "apps/edge/event_log.h"
#include "apps/edge/target_pool.h"
#include "forwarding/node/forwarding_node.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace quetzal {

/** What the connections of one edge process share. */
struct edge_context
{
    boost::asio::io_context &loop;
    forwarding_node &node;
    target_pool &pool;
    event_log &log;
    edge_metrics &metrics;
    /** Bytes of requests that are held in memory. */
    std::size_t heldBytes = 0;
    /** Above this, requests are rejected. */
    std::size_t maxHeldBytes = 0;
    /** True once the process was told to stop. */
    bool isStopping = false;
    /** True once new requests are rejected, because they might not end before the process does. */
    bool isRejectingRequests = false;
    std::uint64_t nextRequest = 1;
};

} // namespace quetzal
