#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace quetzal {

/**
 * The numbered results that callers, operators and logs see.
 *
 * 1xxx: the request of the caller is invalid or not permitted; 2xxx: rejected temporarily; 3xxx:
 * the answer failed; 4xxx: administration and configuration; 5xxx: settings and start-up.
 * docs/RESULT_CODES.md contains the same table; a test compares the two.
 */
enum class result_code
{
    Ok = 0,

    MalformedRequest = 1001,
    KeyUnknown = 1002,
    ServiceUnknown = 1003,
    ServiceNotAllowed = 1004,
    BodyTooLarge = 1005,
    HeaderInvalid = 1006,

    WorkspaceQueueFull = 2001,
    RouterQueueFull = 2002,
    DeadlineBeforeDispatch = 2003,
    RouterStopping = 2004,
    RouterIsolated = 2005,
    ConfigurationMissing = 2006,
    NoTargetAvailable = 2007,
    CallerGone = 2008,
    TargetRefused = 2009,
    RouterOverloaded = 2010,
    PromptPartHeld = 2011,

    OutcomeUnknown = 3001,
    TargetFailed = 3002,
    AnswerTruncated = 3003,
    AnswerMismatched = 3004,
    DeadlineDuringAnswer = 3005,

    DocumentInvalid = 4001,
    RevisionConflict = 4002,
    StoreUnavailable = 4003,
    StoreOutcomeUnknown = 4004,
    TokenUnknown = 4005,
    RoleInsufficient = 4006,
    NotFound = 4007,
    RevisionNotInForce = 4008,
    StoredDocumentDamaged = 4009,
    DigestMismatch = 4010,
    PromotionChangesDataCentre = 4011,

    SettingsInvalid = 5001,
    AddressInUse = 5002,
};

/** What a caller can conclude about the execution of its request. */
enum class execution_state
{
    NotRun,
    OutcomeUnknown,
    Run,
};

/** A row of the table of result codes. */
struct result_code_entry
{
    result_code code;
    std::string_view name;
    int httpStatus;
    /** The default error message. */
    std::string_view meaning;
    /** The remedy that error answers recommend. */
    std::string_view whatToDo;

    bool operator==(const result_code_entry &) const = default;
};

/** Returns all result codes in ascending order. */
std::span<const result_code_entry> resultCodeTable();

/** Returns the table row of a code, which must be in the table. */
const result_code_entry &describe(result_code code);

/** Returns the error category named "quetzal". */
const std::error_category &resultCategory();

/** Enables the implicit conversion of a result_code to a std::error_code. */
std::error_code make_error_code(result_code code); // NOLINT(readability-identifier-naming)

} // namespace quetzal

template <>
struct std::is_error_code_enum<quetzal::result_code> : std::true_type
{
};
