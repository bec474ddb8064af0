#pragma once

/**
 * Module membership: the routers that share the limits of the fleet.
 *
 * Member records have no lease and are renewed periodically, so that a partitioned router stays a
 * member while it may still spend its share of a limit. Depends on directory; opens no connection
 * and reads no clock.
 */

#include "membership/table/member_table.h"
