#include "apps/edge/quarantine_log.h"

#include <absl/strings/str_cat.h>

#include <cstdint>

namespace quetzal {

namespace {

/** Returns how long ago an end was; -1 if there is none. */
std::int64_t agoMs(const std::vector<target_end> &ends, std::size_t index, absl::Time now)
{
    return index < ends.size() ? absl::ToInt64Milliseconds(now - ends[index].at) : -1;
}

} // namespace

std::string partText(part_id part)
{
    return absl::StrCat(absl::Hex(part));
}

void logQuarantineEvents(event_log &log, const std::vector<quarantine_event> &events,
                         absl::Time now)
{
    for (const quarantine_event &event : events) {
        const std::vector<target_end> &ends = event.part.ends;
        log.line("prompt_part")
            .text("step", toText(event.step))
            .text("part", partText(event.part.part))
            .number("endedTargets", static_cast<std::int64_t>(ends.size()))
            .number("firstEndAgoMs", agoMs(ends, 0, now))
            .number("lastEndAgoMs", agoMs(ends, ends.size() - 1, now))
            .number("heldForMs", absl::ToInt64Milliseconds(now - event.part.since))
            .number("trials", event.part.trials)
            .text("reportedBy", event.reportedBy);
    }
}

} // namespace quetzal
