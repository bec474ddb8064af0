#pragma once

#include "foundation/errors/result_code.h"

namespace quetzal {

/** Exit codes of quetzalctl; docs/ADMINISTRATION.md lists them. */
enum class ctl_exit
{
    Done = 0,
    /** The command line is invalid; nothing was sent. */
    Usage = 2,
    /** The document has faults. */
    DocumentInvalid = 3,
    /**
     * Another change was accepted first, or the promotion's digest or data centres do not match;
     * nothing was changed.
     */
    Conflict = 4,
    /** The call was rejected because of its token, role, name or content. */
    Refused = 5,
    /** The store or quetzal-admin is unreachable; nothing was changed. */
    Unavailable = 6,
    /** It is unknown whether the change was made. */
    OutcomeUnknown = 7,
    /** The change was accepted but is not yet in force on every VM. */
    NotInForce = 8,
    /** Any other failure. */
    Failed = 9,
};

/** Returns the exit code for a result code of the administration API. */
ctl_exit exitFor(result_code code);

} // namespace quetzal
