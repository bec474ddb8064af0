#pragma once

/**
 * Module fairness: the order in which workspaces are served and how they are charged.
 *
 * Contains virtual-time fair queueing over estimated costs, the estimator that learns these costs,
 * and the ledger that adds up the charges of all shards into one total for each workspace. Depends
 * on the foundation module only.
 */

#include "fairness/estimate/cost_estimator.h"
#include "fairness/ledger/ledger_home.h"
#include "fairness/ledger/ledger_types.h"
#include "fairness/ledger/ledger_writer.h"
#include "fairness/order/fair_order.h"
