#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace chervilfield::base {

/// Numbered result codes, stable across releases. `docs/results.md` lists them.
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

/// One row of the table of result codes.
struct ResultInfo
{
    Result code;
    std::string_view name;    ///< Stable identifier, in kebab case.
    int httpStatus;           ///< Status of the HTTP response that carries the code.
    std::string_view message; ///< Plain description for callers.
};

/// Returns the table of all result codes in ascending order.
std::span<const ResultInfo> resultTable();

/// Returns the row of `code`, or the row of `Result::Internal` if the code is not in the table.
const ResultInfo &resultInfo(Result code);

/// Returns the error category of `Result`; its name is "chervilfield".
const std::error_category &resultCategory();

/// Makes an error code of the chervilfield category. Found by argument-dependent lookup.
std::error_code make_error_code(Result code);

/// Returns the `Result` that `error` holds, or `Result::Internal` for a foreign category.
Result toResult(const std::error_code &error);

/// Whether the work that a request asked for was executed.
enum class WorkStatus { NotRun, Ran, Unknown };

/// Returns "not-run", "ran" or "unknown", as error bodies carry it.
std::string_view toString(WorkStatus status);

} // namespace chervilfield::base

template<>
struct std::is_error_code_enum<chervilfield::base::Result> : std::true_type
{
};
