#pragma once

/**
 * Module forwarding: what one router decides for each request, alone.
 *
 * The routes in force, the life of a request (what may be said, sent, and sent again), and the node
 * that composes directory, placement and budgets. Depends on those modules and on http; opens no
 * connection and reads no clock.
 */

#include "forwarding/lifecycle/request_action.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "forwarding/node/forwarding_node.h"
#include "forwarding/request/attempt_rules.h"
#include "forwarding/request/request_description.h"
#include "forwarding/route/route_table.h"
