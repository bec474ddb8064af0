#pragma once

/**
 * Module placement: which target a request is sent to.
 *
 * What each target's prompt cache probably holds, what each target still has to read, and the
 * choice between targets from both. Depends on foundation and directory; opens no connection and
 * reads no clock.
 */

#include "placement/cache/prompt_cache_view.h"
#include "placement/choice/target_choice.h"
#include "placement/load/target_load.h"
