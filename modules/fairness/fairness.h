#pragma once

/**
 * Module fairness: in which order workspaces are served and what each is charged.
 *
 * Virtual-time fair queueing over estimated costs, the learning of the estimates, and the ledger
 * that joins the shards' charges into one total for each workspace. Depends on foundation only.
 */

#include "fairness/estimate/cost_estimator.h"
#include "fairness/ledger/ledger_home.h"
#include "fairness/ledger/ledger_types.h"
#include "fairness/ledger/ledger_writer.h"
#include "fairness/order/fair_order.h"
