#include "apps/ctl/ctl_exit.h"

namespace quetzal {

ctl_exit exitFor(result_code code)
{
    switch (code) {
    case result_code::Ok:
        return ctl_exit::Done;
    case result_code::DocumentInvalid:
        return ctl_exit::DocumentInvalid;
    case result_code::RevisionConflict:
    case result_code::DigestMismatch:
    case result_code::PromotionChangesDataCentre:
        return ctl_exit::Conflict;
    case result_code::TokenUnknown:
    case result_code::RoleInsufficient:
    case result_code::NotFound:
    case result_code::MalformedRequest:
    case result_code::BodyTooLarge:
        return ctl_exit::Refused;
    case result_code::StoreUnavailable:
        return ctl_exit::Unavailable;
    case result_code::StoreOutcomeUnknown:
        return ctl_exit::OutcomeUnknown;
    case result_code::RevisionNotInForce:
        return ctl_exit::NotInForce;
    default:
        return ctl_exit::Failed;
    }
}

} // namespace quetzal
