#pragma once

/**
 * The emulator: a whole fleet in simulated time, deterministic for a seed.
 *
 * Callers, routers, targets and the key-value service are small models; every decision is made by
 * the real objects of modules/ (request_lifecycle, forwarding_node, mirror_follower, member_table).
 * The fuzz tests and the experiment tool quetzal-lab run on it. Depends on the modules that it
 * emulates the surroundings of; opens no socket and reads no clock.
 */

#include "emulator/account/invariant_checker.h"
#include "emulator/account/service_account.h"
#include "emulator/caller/caller_population.h"
#include "emulator/fault/fleet_fault.h"
#include "emulator/fleet/emulated_fleet.h"
