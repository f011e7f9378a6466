#include "base/result.h"

#include <algorithm>
#include <array>
#include <string>

namespace chervilfield::base {

namespace {

// Rows in ascending order of the codes. `Internal` must be the last one, because `resultInfo()`
// returns the last row for an unknown code.
constexpr std::array kResults{
    ResultInfo{ Result::Ok, "ok", 200, "The request succeeded." },
    ResultInfo{ Result::MalformedRequest, "malformed-request", 400,
                "The HTTP message is malformed." },
    ResultInfo{ Result::BodyTooLarge, "body-too-large", 413, "The body exceeds the limit." },
    ResultInfo{ Result::HeadTooLarge, "head-too-large", 431,
                "The request line and headers exceed the limit." },
    ResultInfo{ Result::InvalidJson, "invalid-json", 400, "The body is not valid JSON." },
    ResultInfo{ Result::InvalidUtf8, "invalid-utf8", 400, "The body is not valid UTF-8." },
    ResultInfo{ Result::Unauthorized, "unauthorized", 401, "The API key is missing or unknown." },
    ResultInfo{ Result::UnknownModel, "unknown-model", 404,
                "No routing intent serves this model for the customer." },
    ResultInfo{ Result::UnknownPath, "unknown-path", 404, "No route has this path." },
    ResultInfo{ Result::MissingIdempotencyKey, "missing-idempotency-key", 400,
                "The call is not idempotent and needs Idempotency-Key or Order-Ticket." },
    ResultInfo{ Result::FingerprintMismatch, "fingerprint-mismatch", 422,
                "The idempotency key was used with a different request." },
    ResultInfo{ Result::RequestTimeout, "request-timeout", 408,
                "The request did not arrive in time." },
    ResultInfo{ Result::MethodNotAllowed, "method-not-allowed", 405,
                "The path does not accept this method." },
    ResultInfo{ Result::InvalidField, "invalid-field", 400,
                "A field is missing or has the wrong type or range." },
    ResultInfo{ Result::Overloaded, "overloaded", 503, "No capacity is free for this work." },
    ResultInfo{ Result::DeadlineUnreachable, "deadline-unreachable", 503,
                "The work cannot start before its deadline." },
    ResultInfo{ Result::QuotaExceeded, "quota-exceeded", 429,
                "The customer's share of the capacity is in use." },
    ResultInfo{ Result::NoTarget, "no-target", 503, "No live target matches the selector." },
    ResultInfo{ Result::ShuttingDown, "shutting-down", 503, "The instance is shutting down." },
    ResultInfo{ Result::RetryBudgetSpent, "retry-budget-spent", 503, "The retry budget is spent." },
    ResultInfo{ Result::NotReady, "not-ready", 503, "The instance has no configuration yet." },
    ResultInfo{ Result::PartQuarantined, "part-quarantined", 503,
                "Engines crashed on a part of the prompt." },
    ResultInfo{ Result::RateLimited, "rate-limited", 503,
                "The targets accept no more requests at the moment." },
    ResultInfo{ Result::UsageLimitReached, "usage-limit-reached", 429,
                "The customer has used up its limit." },
    ResultInfo{ Result::TargetUnreachable, "target-unreachable", 502,
                "The target refused the connection." },
    ResultInfo{ Result::TargetFailed, "target-failed", 502, "The target failed." },
    ResultInfo{ Result::StreamInterrupted, "stream-interrupted", 502,
                "The stream ended before its end." },
    ResultInfo{ Result::ProgressTimeout, "progress-timeout", 504,
                "The target made no progress in time." },
    ResultInfo{ Result::RequestCancelled, "request-cancelled", 499,
                "The caller closed the connection before the answer." },
    ResultInfo{ Result::RouteTimeout, "route-timeout", 504,
                "The time that the route allows for an answer has passed." },
    ResultInfo{ Result::RevisionConflict, "revision-conflict", 409,
                "The configuration has moved past the revision of the change." },
    ResultInfo{ Result::ValidationFailed, "validation-failed", 422, "The change is not valid." },
    ResultInfo{ Result::NotFound, "not-found", 404, "There is no such item." },
    ResultInfo{ Result::StoreUnavailable, "store-unavailable", 503,
                "The platform's table or object service does not answer." },
    ResultInfo{ Result::WriteUndecided, "write-undecided", 503,
                "It is not known whether the write took effect." },
    ResultInfo{ Result::StaleRead, "stale-read", 503,
                "The store answered with a state older than one already seen." },
    ResultInfo{ Result::LeaseHeld, "lease-held", 409, "Another holder has the lease." },
    ResultInfo{ Result::StaleFence, "stale-fence", 409,
                "The fencing number is lower than one already seen." },
    ResultInfo{ Result::OrderInProgress, "order-in-progress", 409,
                "An attempt with this key is in progress." },
    ResultInfo{ Result::OrderUndecided, "order-undecided", 409,
                "It is not known whether the order ran." },
    ResultInfo{ Result::TicketUnknown, "ticket-unknown", 409,
                "The ticket was not issued by this process life." },
    ResultInfo{ Result::TicketSpent, "ticket-spent", 409, "The ticket was redeemed before." },
    ResultInfo{ Result::OrderClosed, "order-closed", 409,
                "The order was closed before it ran; place it again with a new key." },
    ResultInfo{ Result::AnswerExpired, "answer-expired", 410,
                "The order ran; its answer is no longer stored." },
    ResultInfo{ Result::SettingsInvalid, "settings-invalid", 500, "The settings are not valid." },
    ResultInfo{ Result::Internal, "internal", 500, "An internal error occurred." },
};

class ResultCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "chervilfield"; }
    std::string message(int value) const override
    {
        return std::string(resultInfo(static_cast<Result>(value)).message);
    }
};

} // namespace

std::span<const ResultInfo> resultTable()
{
    return kResults;
}

const ResultInfo &resultInfo(Result code)
{
    const auto *row = std::ranges::find(kResults, code, &ResultInfo::code);
    return row == kResults.end() ? kResults.back() : *row;
}

const std::error_category &resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(Result code)
{
    return { static_cast<int>(code), resultCategory() };
}

Result toResult(const std::error_code &error)
{
    if (!error)
        return Result::Ok;
    if (error.category() != resultCategory())
        return Result::Internal;
    return static_cast<Result>(error.value());
}

std::string_view toString(WorkStatus status)
{
    switch (status) {
    case WorkStatus::NotRun:
        return "not-run";
    case WorkStatus::Ran:
        return "ran";
    case WorkStatus::Unknown:
        break;
    }
    return "unknown";
}

} // namespace chervilfield::base
