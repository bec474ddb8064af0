#pragma once

/**
 * Module membership: which routers share the limits of the fleet, and the reading of the key-value
 * service.
 *
 * Records without a lease, renewed from time to time, so that a router that is cut off stays
 * counted while it may still spend its part. Depends on directory; opens no connection and reads no
 * clock.
 */

#include "membership/table/member_table.h"
#include "membership/watch/watch_timeouts.h"
