#pragma once

/**
 * Module budgets: fleet-wide limits that the routers enforce without waiting for each other.
 *
 * Each router spends a static share of a limit, by the number of routers last known, so that the
 * total holds even while routers are partitioned from each other. Connections are divided by need:
 * only half of them by the number of routers. The memory of one router is bounded for all of its
 * requests together. Depends on Abseil only.
 */

#include "budgets/cold/cold_start_limiter.h"
#include "budgets/connection/connection_share.h"
#include "budgets/memory/byte_budget.h"
#include "budgets/retry/shared_retry_budget.h"
#include "budgets/window/sliding_counter.h"
