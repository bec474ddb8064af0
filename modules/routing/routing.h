#pragma once

/**
 * Module routing: a router's decisions for each request, without sockets, threads or clocks.
 *
 * Implements waiting queues and their limits, the states of a request, retries, the tracking of
 * grants and running tickets, and the node that composes them. Depends on configuration and
 * protocol.
 */

#include "routing/node/router_node.h"
#include "routing/request/request_types.h"
