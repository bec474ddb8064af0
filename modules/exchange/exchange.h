#pragma once

/**
 * Module exchange: what routers tell each other, a few times a second, in single datagrams.
 *
 * Work sent to each target, tokens asked and served by workspace, and prompts placed. It makes
 * decisions better and is never waited for: what is old is left out. Depends on placement and
 * nlohmann-json (MessagePack); opens no connection and reads no clock.
 */

#include "exchange/digest/digest_codec.h"
#include "exchange/digest/load_digest.h"
#include "exchange/view/fleet_view.h"
