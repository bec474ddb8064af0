#pragma once

/**
 * Module ownership: which scheduler owns which shard, with which epoch and certainty.
 *
 * Implements leases, epochs, takeovers, relayed lease renewals and the rules for an owner whose
 * lease may have lapsed, as state machines that are driven by store replies, messages from peers
 * and the time that the caller passes. Depends on foundation only.
 */

#include "ownership/shards/shard_ownership.h"
#include "ownership/store/store_types.h"
