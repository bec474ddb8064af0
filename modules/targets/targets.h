#pragma once

/**
 * Module targets: the concurrency limit of each target and whether it may receive new requests.
 *
 * Implements slow start and the detection of restarting, draining and unresponsive targets from VM
 * list entries, load reports and the results of the routers' requests, as well as fenced and paced
 * orders to targets. Depends on foundation only.
 */

#include "targets/admission/target_admission.h"
#include "targets/orders/target_order_queue.h"
