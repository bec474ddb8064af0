#pragma once

/**
 * Module admission: decides which requests are rejected under overload.
 *
 * Counts tokens requested and served by workspace within a window, estimates what the targets can
 * serve, computes each workspace's max-min fair share of it, and decides which requests are within
 * it and at which backlog those are rejected at once. Limits the new requests that the router's own
 * processor takes. Depends on foundation; opens no connection and reads no clock.
 */

#include "admission/capacity/capacity_estimate.h"
#include "admission/limit/backlog_limit.h"
#include "admission/processor/turn_limiter.h"
#include "admission/share/fair_level.h"
#include "admission/share/share_state.h"
#include "admission/share/token_window.h"
