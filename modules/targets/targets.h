#pragma once

/**
 * Module targets: what one target bears and whether it may receive new work.
 *
 * Slow start, detection of a restart, draining and silence, from listings, load reports and the
 * routers' outcomes. Depends on foundation only.
 */

#include "targets/admission/target_admission.h"
