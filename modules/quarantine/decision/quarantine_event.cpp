#include "quarantine/decision/quarantine_event.h"

namespace quetzal {

std::string_view toText(quarantine_step step)
{
    switch (step) {
    case quarantine_step::Held:
        return "held";
    case quarantine_step::ReleasedSound:
        return "released_sound";
    case quarantine_step::ReleasedTargetsRun:
        return "released_targets_run";
    case quarantine_step::Tried:
        return "tried";
    case quarantine_step::TableFull:
        return "table_full";
    }
    return "";
}

} // namespace quetzal
