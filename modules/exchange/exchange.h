#pragma once

/**
 * Module exchange: load digests that routers send each other a few times per second, each in a
 * single datagram.
 *
 * A digest holds the work sent to each target, the tokens requested and served by workspace, and
 * the prompts that were placed. A quarantine digest holds what was seen of targets that ended and
 * of prompt parts; records of the same in the key-value service outlive the routers. Digests
 * improve decisions, but no decision waits for them: stale digests are ignored. Depends on
 * placement, quarantine and nlohmann-json (MessagePack); opens no connection and reads no clock.
 */

#include "exchange/digest/digest_codec.h"
#include "exchange/digest/load_digest.h"
#include "exchange/digest/quarantine_digest.h"
#include "exchange/interval/digest_interval.h"
#include "exchange/peers/peer_list.h"
#include "exchange/record/part_record_codec.h"
#include "exchange/view/fleet_view.h"
