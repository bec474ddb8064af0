#pragma once

#include "apps/edge/event_log.h"
#include "quarantine/decision/part_quarantine.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace quetzal {

/** Returns the identifier of a prompt part as callers send it. */
std::string partText(part_id part);

/** Writes a log line for each change of the held prompt parts. */
void logQuarantineEvents(event_log &log, const std::vector<quarantine_event> &events,
                         absl::Time now);

} // namespace quetzal
