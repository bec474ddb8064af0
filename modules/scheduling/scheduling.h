#pragma once

/**
 * Module scheduling: the decisions of a scheduler, without sockets, threads or clocks.
 *
 * Contains the scheduler of one shard, which issues grants, and the node that combines shards,
 * ownership, the ledger, membership and the configuration. Depends on the modules fairness,
 * targets, ownership, configuration and protocol.
 */

#include "scheduling/node/scheduler_node.h"
#include "scheduling/shard/shard_scheduler.h"
