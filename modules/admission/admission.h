#pragma once

/**
 * Module admission: decides which requests are rejected under overload.
 *
 * Counts tokens requested and served by workspace within a window, computes each workspace's
 * max-min fair share of what the targets really serve, and limits the backlog above which a request
 * is rejected at once. Limits the new requests that the router's own processor takes. Depends on
 * foundation; opens no connection and reads no clock.
 */

#include "admission/limit/backlog_limit.h"
#include "admission/processor/turn_limiter.h"
#include "admission/share/fair_level.h"
#include "admission/share/share_state.h"
#include "admission/share/token_window.h"
