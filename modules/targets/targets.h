#pragma once

/**
 * Module targets: what one target bears and whether it may receive new work.
 *
 * Slow start, detection of a restart, draining and silence, from listings, load reports and the
 * routers' outcomes; fenced and paced orders to targets. Depends on foundation only.
 */

#include "targets/admission/target_admission.h"
#include "targets/orders/target_order_queue.h"
