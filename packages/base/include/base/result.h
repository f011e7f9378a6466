#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace chervilfield::base {

/// Numeric result codes. They are the same in all releases and are listed in `docs/results.md`.
enum class Result : int {
    Ok = 0,

    MalformedRequest = 1001,
    BodyTooLarge = 1002,
    HeadTooLarge = 1003,
    InvalidJson = 1004,
    InvalidUtf8 = 1005,
    Unauthorized = 1006,
    UnknownModel = 1007,
    UnknownPath = 1008,
    MissingIdempotencyKey = 1009,
    FingerprintMismatch = 1010,
    RequestTimeout = 1011,
    MethodNotAllowed = 1012,
    InvalidField = 1013,

    Overloaded = 2001,
    DeadlineUnreachable = 2002,
    QuotaExceeded = 2003,
    NoTarget = 2004,
    ShuttingDown = 2005,
    RetryBudgetSpent = 2006,
    NotReady = 2007,
    PartQuarantined = 2008,
    RateLimited = 2009,
    UsageLimitReached = 2010,

    TargetUnreachable = 3001,
    TargetFailed = 3002,
    StreamInterrupted = 3003,
    ProgressTimeout = 3004,
    RequestCancelled = 3005,
    RouteTimeout = 3006,

    RevisionConflict = 4001,
    ValidationFailed = 4002,
    NotFound = 4003,
    StoreUnavailable = 4004,
    WriteUndecided = 4005,
    StaleRead = 4006,
    LeaseHeld = 4007,
    StaleFence = 4008,

    OrderInProgress = 5001,
    OrderUndecided = 5002,
    TicketUnknown = 5003,
    TicketSpent = 5004,
    OrderClosed = 5005,
    AnswerExpired = 5006,

    SettingsInvalid = 6001,

    Internal = 9001,
};

/// Properties of a result code.
struct ResultInfo
{
    Result code;
    std::string_view name;    ///< Identifier in kebab case; the same in all releases.
    int httpStatus;           ///< Status of an HTTP response with this code.
    std::string_view message; ///< Description for callers.
};

/// Returns all result codes in ascending order.
std::span<const ResultInfo> resultTable();

/// Returns the properties of `code`, or those of `Result::Internal` if the code is unknown.
const ResultInfo &resultInfo(Result code);

/// Returns the error category of `Result`. Its name is "chervilfield".
const std::error_category &resultCategory();

/// Returns an error code of `resultCategory()`. `std::error_code` finds this function by
/// argument-dependent lookup when it is constructed from a `Result`.
std::error_code make_error_code(Result code);

/// Returns the `Result` in `error`, or `Result::Internal` if `error` has another category. Returns
/// `Result::Ok` if `error` is not set.
Result toResult(const std::error_code &error);

/// Whether the work of a request was executed. `Unknown` means that it may have been executed.
enum class WorkStatus { NotRun, Ran, Unknown };

/// Returns "not-run", "ran" or "unknown", the values of `work` in error bodies.
std::string_view toString(WorkStatus status);

} // namespace chervilfield::base

template<>
struct std::is_error_code_enum<chervilfield::base::Result> : std::true_type
{
};
