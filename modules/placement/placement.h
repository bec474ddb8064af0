#pragma once

/**
 * Module placement: chooses the target of a request.
 *
 * Estimates the content of each target's prompt cache and the work queued at each target, and
 * chooses between targets by both. Depends on foundation and directory; opens no connection and
 * reads no clock.
 */

#include "placement/cache/prompt_cache_view.h"
#include "placement/choice/target_choice.h"
#include "placement/load/target_load.h"
