#pragma once

/**
 * Module routing: what a router decides for each request, without sockets, threads or clocks.
 *
 * Waiting queues and their limits, the states of a request, retries, the book of grants and
 * running tickets, and the node that composes them. Depends on configuration and protocol.
 */

#include "routing/node/router_node.h"
#include "routing/request/request_types.h"
