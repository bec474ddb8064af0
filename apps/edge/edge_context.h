#pragma once

#include "apps/edge/edge_metrics.h"
#include "apps/edge/event_log.h"
#include "apps/edge/loop_turns.h"
#include "apps/edge/relay_pacer.h"
#include "apps/edge/target_pool.h"
#include "forwarding/node/forwarding_node.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace quetzal {

/** Services and state shared by all connections of one edge process. */
struct edge_context
{
    boost::asio::io_context &loop;
    forwarding_node &node;
    target_pool &pool;
    relay_pacer &pacer;
    loop_turns &turns;
    event_log &log;
    edge_metrics &metrics;
    /** Bytes of request bodies held in memory. */
    std::size_t heldBytes = 0;
    /** Bound of heldBytes above which requests are rejected. */
    std::size_t maxHeldBytes = 0;
    /** True once a graceful shutdown has begun. */
    bool isStopping = false;
    /** Number of the next request; unique within the process. */
    std::uint64_t nextRequest = 1;
};

} // namespace quetzal
