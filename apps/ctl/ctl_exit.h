#pragma once

#include "foundation/errors/result_code.h"

namespace quetzal {

/** Exit codes of quetzalctl; docs/ADMINISTRATION.md lists them. */
enum class ctl_exit
{
    Done = 0,
    /** The command line is at fault; nothing was sent. */
    Usage = 2,
    /** The document has faults. */
    DocumentInvalid = 3,
    /** Another change came first, or the promotion does not fit; nothing was changed. */
    Conflict = 4,
    /** The call was refused: token, role, name or request. */
    Refused = 5,
    /** Store or admin cannot be reached; nothing was changed. */
    Unavailable = 6,
    /** The change may or may not have been made. */
    OutcomeUnknown = 7,
    /** The change was accepted and is not yet in force on every VM. */
    NotInForce = 8,
    /** Anything else. */
    Failed = 9,
};

/** The exit code for a result code of the administration API. */
ctl_exit exitFor(result_code code);

} // namespace quetzal
