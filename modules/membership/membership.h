#pragma once

/**
 * Module membership: the routers that share the limits of the fleet and the load of reading the
 * key-value service.
 *
 * Member records have no lease and are renewed periodically, so that a partitioned router stays a
 * member while it may still spend its share of a limit. Depends on directory; opens no connection
 * and reads no clock.
 */

#include "membership/table/member_table.h"
#include "membership/watch/watch_timeouts.h"
