#pragma once

/**
 * Module scheduling: what a scheduler decides, without sockets, threads or clocks.
 *
 * The grants of one shard, and the node that composes shards, ownership, the ledger, membership and
 * the configuration. Depends on fairness, targets, ownership, configuration and protocol.
 */

#include "scheduling/node/scheduler_node.h"
#include "scheduling/shard/shard_scheduler.h"
