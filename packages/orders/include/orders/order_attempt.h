#pragma once

#include "base/result.h"
#include "orders/order_row.h"
#include "orders/own_intents.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chervilfield::orders {

/// Limits of an attempt.
struct AttemptOptions
{
    /// Time for which an answer is stored for retries.
    std::chrono::hours answerLifetime{ 48 };
    /// Maximum size of an answer's body that is stored for retries. Answers are stored in the
    /// order's table row, which is not meant for large values.
    std::size_t maxStoredBodyBytes = 65'536;
    /// Number of rounds (reads or writes of the row that are repeated) after which the caller gets
    /// `unknown`. With the maximum delay of 500 ms this takes about 18 s plus the time that the
    /// store takes. The limit ensures a reply even if `CallerGone` is never delivered.
    int maxRoundsBeforeReply = 40;
    /// Number of rounds after which an attempt whose caller already has its reply stops. With the
    /// maximum delay of 5 s this takes over ten minutes.
    int maxRoundsAfterReply = 150;
};

/// One call that must not run twice, identified by an idempotency key.
struct AttemptRequest
{
    std::string rowKey;      ///< `orders::rowKey` of the identity.
    std::string fingerprint; ///< `orders::fingerprint` of the request.
    std::string ownLife;     ///< This process life.
    std::string attemptId;   ///< Unique over all process lives; prefix of the write ids.
    AttemptOptions options;
};

/// Phase of an attempt.
enum class AttemptPhase {
    Idle,        ///< The attempt has not been started.
    Inserting,   ///< Writes the intent.
    Dispatching, ///< Waits for the result of the dispatch.
    Recording,   ///< Writes the outcome of the dispatch.
    Closing,     ///< Writes the state `Closed`, so that the order cannot be dispatched any more.
    Following,   ///< Polls the row until it has a final state or its owner's life has ended.
    Finished     ///< Nothing is left to do.
};

/// Conditional write of the order's row whose outcome is not confirmed yet.
struct PendingWrite
{
    OrderRow row;
    std::uint64_t ifVersion = 0; ///< 0: the row must not exist.
    std::string writeId;
};

/// Reply to the caller.
struct Reply
{
    base::WorkStatus work = base::WorkStatus::Unknown;
    base::Result code = base::Result::Ok;
    std::optional<Answer> answer; ///< Present if and only if `code` is `Ok`.

    bool operator==(const Reply &) const = default;
};

/// State of one attempt. Set `request`; everything else is changed only by `step`.
struct Attempt
{
    AttemptRequest request;
    AttemptPhase phase = AttemptPhase::Idle;
    PendingWrite write;      ///< Current write; valid in the phases that write the row.
    std::string intentId;    ///< Write id of the intent that this attempt has to complete or close.
    bool hasReplied = false; ///< The caller has its reply; the row may need a final state.
    bool mayBeApplied = false; ///< A copy of `write` was sent and its response was lost.
    int roundCount = 0;        ///< Reads and repeated writes since the last write or poll began.
    std::uint64_t version = 0; ///< Version of the row that holds this attempt's intent.
    Reply pendingReply;        ///< Returned when the current write is confirmed.
};

// Events. At most one table operation and one dispatch of an attempt are outstanding at a time.

/// Starts an attempt that is to dispatch the order.
struct Begin
{
};

/// Starts an attempt whose call is refused with `code`: no capacity, no target or shutdown. The
/// order is closed, so that a copy of the call that arrives later at another instance does not run.
struct Refuse
{
    base::Result code = base::Result::Overloaded;
};

/// The store applied the write.
struct WriteApplied
{
    std::uint64_t version = 0;
};

/// The store rejected the write with 409 and returned the current row. `hasOwnerEnded` tells
/// whether the process life `stored.row.ownerLife` is known to have ended.
struct WriteConflict
{
    StoredRow stored;
    bool hasOwnerEnded = false;
};

/// The write was certainly not applied: the connection was refused or the store rejected it.
struct WriteNotApplied
{
};

/// The write was sent and its response did not arrive. It may have been applied, or be applied
/// later.
struct WriteUnconfirmed
{
};

/// Result of a read. `stored` is absent if the row does not exist. `hasOwnerEnded` is as in
/// `WriteConflict`.
struct RowRead
{
    std::optional<StoredRow> stored;
    bool hasOwnerEnded = false;
};

/// The read failed.
struct ReadFailed
{
};

/// No byte of the request was sent to any target.
struct DispatchNotSent
{
    base::Result code = base::Result::TargetUnreachable;
};

/// The service answered. Any complete HTTP response counts, including one with an error status.
struct TargetAnswered
{
    Answer answer;
};

/// The request was sent at least in part, and no complete response will arrive.
struct AnswerLost
{
};

/// The caller's deadline has passed or its connection is closed.
struct CallerGone
{
};

using Event =
        std::variant<Begin, Refuse, WriteApplied, WriteConflict, WriteNotApplied, WriteUnconfirmed,
                     RowRead, ReadFailed, DispatchNotSent, TargetAnswered, AnswerLost, CallerGone>;

// Actions.

/// Requests a conditional write of the row after `delay`. Its result is one of the `Write...`
/// events.
struct WriteRow
{
    PendingWrite write;
    std::chrono::milliseconds delay{ 0 };
};

/// Requests a read of the row after `delay`. Its result is `RowRead` or `ReadFailed`.
struct ReadRow
{
    std::chrono::milliseconds delay{ 0 };
};

/// Requests that the call be sent to a target. Another target may be tried only while no byte has
/// been sent. The result is `DispatchNotSent`, `TargetAnswered` or `AnswerLost`.
struct Dispatch
{
};

using Action = std::variant<WriteRow, ReadRow, Dispatch, Reply>;

/// Advances `attempt` by one event and returns the actions that the caller of this function has to
/// perform, in order. A `Reply` is returned at most once. Events must still be delivered after it,
/// until `attempt.phase` is `Finished`, so that the row reaches a final state. `ownIntents` are
/// those of the process life `attempt.request.ownLife`.
std::vector<Action> step(Attempt &attempt, OwnIntents &ownIntents, const Event &event,
                         WallTime now);

} // namespace chervilfield::orders
