#include "foundation/errors/result_code.h"

#include "foundation/errors/precondition.h"

#include <algorithm>
#include <array>
#include <string>

namespace quetzal {

namespace {

constexpr std::array table {
    result_code_entry {result_code::Ok, "Ok", 200, "The request was answered whole.", "Nothing."},
    result_code_entry {result_code::MalformedRequest, "MalformedRequest", 400,
                       "The request is not well-formed HTTP or its body is not valid JSON.",
                       "Correct the request."},
    result_code_entry {result_code::KeyUnknown, "KeyUnknown", 401, "No workspace has this key.",
                       "Send a valid key as a bearer token."},
    result_code_entry {result_code::ServiceUnknown, "ServiceUnknown", 404,
                       "The configuration has no such service.", "Correct the path or model."},
    result_code_entry {result_code::ServiceNotAllowed, "ServiceNotAllowed", 403,
                       "The workspace may not call this service.",
                       "Ask the operators to allow the service."},
    result_code_entry {result_code::BodyTooLarge, "BodyTooLarge", 413,
                       "The body exceeds the router's limit.", "Send a smaller body."},
    result_code_entry {result_code::HeaderInvalid, "HeaderInvalid", 400,
                       "A quetzal header has an invalid value.", "Correct the named header."},
    result_code_entry {result_code::WorkspaceQueueFull, "WorkspaceQueueFull", 429,
                       "The workspace has as many waiting requests as its limit allows.",
                       "Retry after the given time."},
    result_code_entry {result_code::RouterQueueFull, "RouterQueueFull", 503,
                       "The router has as many waiting requests as its limit allows.",
                       "Retry after the given time."},
    result_code_entry {result_code::DeadlineBeforeDispatch, "DeadlineBeforeDispatch", 504,
                       "The deadline passed while the request was waiting.",
                       "Retry with a later deadline."},
    result_code_entry {result_code::RouterStopping, "RouterStopping", 503,
                       "The router is shutting down and takes no new work.",
                       "Retry at once; another router answers."},
    result_code_entry {result_code::RouterIsolated, "RouterIsolated", 503,
                       "The router cannot know the configuration in force.",
                       "Retry at once; another router answers."},
    result_code_entry {result_code::ConfigurationMissing, "ConfigurationMissing", 503,
                       "The router has not yet received a configuration.",
                       "Retry after the given time."},
    result_code_entry {result_code::NoTargetAvailable, "NoTargetAvailable", 503,
                       "The service has no target in any data centre that is in use.",
                       "Retry after the given time; operators check the targets."},
    result_code_entry {result_code::CallerGone, "CallerGone", 499,
                       "The caller closed the connection before dispatch.", "Nothing."},
    result_code_entry {result_code::TargetRefused, "TargetRefused", 503,
                       "Every try was refused by a target without running the request.",
                       "Retry after the given time."},
    result_code_entry {result_code::RouterOverloaded, "RouterOverloaded", 503,
                       "The router has more to do than its processor can.",
                       "Retry after the given time, on another router if possible."},
    result_code_entry {result_code::PromptPartHeld, "PromptPartHeld", 503,
                       "Targets ended under a part of the prompt; requests with it are not sent.",
                       "Do not repeat it before the given time; operators check the part."},
    result_code_entry {result_code::OutcomeUnknown, "OutcomeUnknown", 502,
                       "The request was sent and its answer was lost; it may have run.",
                       "Ask the service whether it ran before repeating it."},
    result_code_entry {result_code::TargetFailed, "TargetFailed", 502,
                       "The target failed and the retry budget or deadline allows no other try.",
                       "Retry after the given time."},
    result_code_entry {result_code::AnswerTruncated, "AnswerTruncated", 502,
                       "The answer broke off and could not be resumed.",
                       "Discard the partial answer and retry."},
    result_code_entry {result_code::AnswerMismatched, "AnswerMismatched", 502,
                       "The target answered with another request's identifier.",
                       "Retry; operators check the target."},
    result_code_entry {result_code::DeadlineDuringAnswer, "DeadlineDuringAnswer", 504,
                       "The deadline passed after the request was sent.",
                       "Retry with a later deadline if the call is idempotent."},
    result_code_entry {result_code::DocumentInvalid, "DocumentInvalid", 422,
                       "The configuration document has faults; each is listed with its path.",
                       "Correct the document."},
    result_code_entry {result_code::RevisionConflict, "RevisionConflict", 409,
                       "Another change was accepted first.",
                       "Read the revision named, merge and apply again."},
    result_code_entry {result_code::StoreUnavailable, "StoreUnavailable", 503,
                       "The key-value service cannot be reached; nothing was changed.",
                       "Retry later."},
    result_code_entry {result_code::StoreOutcomeUnknown, "StoreOutcomeUnknown", 504,
                       "The key-value service did not confirm the change, which may be in force.",
                       "Read the status before repeating the change."},
    result_code_entry {result_code::TokenUnknown, "TokenUnknown", 401,
                       "No operator has this token.", "Send a valid operator token."},
    result_code_entry {result_code::RoleInsufficient, "RoleInsufficient", 403,
                       "The operator's role does not allow this.", "Use a token with role write."},
    result_code_entry {result_code::NotFound, "NotFound", 404,
                       "The named workspace, data centre or page does not exist.",
                       "Correct the name."},
    result_code_entry {result_code::RevisionNotInForce, "RevisionNotInForce", 504,
                       "The change was accepted and is not yet in force on every VM.",
                       "Read the status; do not repeat the change."},
    result_code_entry {result_code::StoredDocumentDamaged, "StoredDocumentDamaged", 500,
                       "The configuration in the key-value service cannot be read.",
                       "Compare the store's keys with the status; apply the document again."},
    result_code_entry {result_code::DigestMismatch, "DigestMismatch", 409,
                       "The trial environment's document has another digest than the one given.",
                       "Watch the document named in trial, then promote its digest."},
    result_code_entry {result_code::PromotionChangesDataCentre, "PromotionChangesDataCentre", 409,
                       "The promotion would take a data centre out or bring it in.",
                       "Change the state in trial first, or repeat with dataCentres=accept."},
    result_code_entry {result_code::SettingsInvalid, "SettingsInvalid", 500,
                       "The settings file has faults; each is listed with its path.",
                       "Correct the settings and start again."},
    result_code_entry {result_code::AddressInUse, "AddressInUse", 500,
                       "The listening address cannot be bound.",
                       "Choose another address or stop the other process."},
};

class result_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "quetzal"; }

    std::string message(int value) const override
    {
        return std::string(describe(static_cast<result_code>(value)).meaning);
    }
};

} // namespace

std::span<const result_code_entry> resultCodeTable()
{
    return table;
}

const result_code_entry &describe(result_code code)
{
    const auto found
        = std::find_if(table.begin(), table.end(),
                       [code](const result_code_entry &entry) { return entry.code == code; });
    QUETZAL_PRECONDITION(found != table.end());
    return *found;
}

const std::error_category &resultCategory()
{
    static const result_category category;
    return category;
}

std::error_code make_error_code(result_code code)
{
    return {static_cast<int>(code), resultCategory()};
}

} // namespace quetzal
