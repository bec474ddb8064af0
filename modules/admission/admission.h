#pragma once

/**
 * Module admission: who is rejected when not everybody can be served in time.
 *
 * Tokens asked and served by workspace within a window, each workspace's max-min share of the
 * capacity, and the work at the targets above which a request is rejected at once. Depends on
 * foundation; opens no connection and reads no clock.
 */

#include "admission/limit/backlog_limit.h"
#include "admission/share/fair_level.h"
#include "admission/share/token_window.h"
