#pragma once

/**
 * Module budgets: limits that all routers of the fleet keep together without asking each other.
 *
 * Each router spends a static part of a limit, by the number of routers last known, so that the sum
 * holds whichever of them are cut off from each other. Depends on Abseil only.
 */

#include "budgets/cold/cold_start_limiter.h"
#include "budgets/retry/shared_retry_budget.h"
#include "budgets/window/sliding_counter.h"
