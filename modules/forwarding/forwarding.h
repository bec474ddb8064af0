#pragma once

/**
 * Module forwarding: the decisions that one router takes for each request on its own.
 *
 * Holds the active routes, the lifecycle of a request (admission, attempts, retries and the answer
 * to the caller), and the node that combines directory, placement and budgets. Depends on those
 * modules and on http; opens no connection and reads no clock.
 */

#include "forwarding/lifecycle/request_action.h"
#include "forwarding/lifecycle/request_lifecycle.h"
#include "forwarding/node/forwarding_node.h"
#include "forwarding/request/attempt_rules.h"
#include "forwarding/request/request_description.h"
#include "forwarding/route/route_table.h"
#include "forwarding/shutdown/shutdown_schedule.h"
