#pragma once

/**
 * Emulates a whole fleet in simulated time, deterministically for a seed.
 *
 * Callers, routers, targets and the key-value service are simplified models; all decisions are made
 * by the production classes of modules/ (request_lifecycle, forwarding_node, mirror_follower,
 * member_table). The fuzz tests and the experiment tool quetzal-lab use it. Depends only on the
 * modules under test; opens no socket and reads no clock.
 */

#include "emulator/caller/caller_population.h"
#include "emulator/fault/fleet_fault.h"
#include "emulator/fleet/emulated_fleet.h"
#include "emulator/observation/invariant_checker.h"
#include "emulator/observation/service_statistics.h"
