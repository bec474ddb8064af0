#pragma once

/**
 * Module ownership: which scheduler owns which shard, with which epoch and how surely.
 *
 * Leases, epochs, takeover, relay of renewals and the rules for a node in doubt, as state machines
 * that are driven by store replies, peers' messages and a time. Depends on foundation only.
 */

#include "ownership/shards/shard_ownership.h"
#include "ownership/store/store_types.h"
