#pragma once

/**
 * Module replication: how the routers of a fleet keep their replicas of the key-value service
 * current with few calls to it.
 *
 * One router reads a prefix and sends what it reads to the others. If it falls silent, the next
 * routers in an order that all know take over, without a coordinator. A router that starts or
 * missed an update requests another router's copy before it calls the service. Depends on directory
 * and nlohmann-json (MessagePack); opens no connection and reads no clock.
 */

#include "replication/copy/transfer_limiter.h"
#include "replication/follower/mirror_follower.h"
#include "replication/follower/missed_change.h"
#include "replication/reader/reader_order.h"
#include "replication/update/mirror_update.h"
#include "replication/update/update_codec.h"
