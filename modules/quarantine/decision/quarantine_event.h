#pragma once

#include "quarantine/evidence/quarantine_news.h"

#include <string>
#include <string_view>

namespace quetzal {

/** What happened to a held part. */
enum class quarantine_step
{
    Held,
    /** Held no longer: an answer was written on the part. */
    ReleasedSound,
    /** Held no longer: targets that seemed to have ended still run. */
    ReleasedTargetsRun,
    /** One request was let through to see whether the part is sound again. */
    Tried,
    /** Not held, because too many parts are. */
    TableFull,
};

/** Returns the name of a step in logs. */
std::string_view toText(quarantine_step step);

/** A change of the held parts, for logs. */
struct quarantine_event
{
    quarantine_step step = quarantine_step::Held;
    held_part part;
    /** The router whose report led to it; empty for this router's own observation. */
    std::string reportedBy;

    bool operator==(const quarantine_event &) const = default;
};

} // namespace quetzal
