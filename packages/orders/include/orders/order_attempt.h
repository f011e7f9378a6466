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
    /// Time for which a stored answer is kept for retries.
    std::chrono::hours answerLifetime{ 48 };
    /// Largest body that is stored for retries, in bytes; the store keeps rows, not objects.
    std::size_t maxStoredBodyBytes = 65'536;
    /// Rounds of reading after which the caller gets `unknown`. With the longest delay of 500 ms
    /// this is about 18 s plus the time that the store takes. A caller is never left waiting, even
    /// if `CallerGone` is not delivered.
    int maxRoundsBeforeReply = 40;
    /// Rounds of writing and reading back after which an attempt whose caller already has its reply
    /// stops. With the longest delay of 5 s this is over ten minutes.
    int maxRoundsAfterReply = 150;
};

/// One call of a caller that must not be repeated, identified by key.
struct AttemptRequest
{
    std::string rowKey;      ///< `orders::rowKey` of the identity.
    std::string fingerprint; ///< `orders::fingerprint` of the request.
    std::string ownLife;     ///< Life of this process.
    std::string attemptId;   ///< Unique over all processes and lives; prefix of the write ids.
    AttemptOptions options;
};

enum class AttemptPhase { Idle, Inserting, Dispatching, Recording, Closing, Following, Finished };

/// A conditional write of the order's row that is not settled yet.
struct PendingWrite
{
    OrderRow row;
    std::uint64_t ifVersion = 0; ///< 0: the row must not exist.
    std::string writeId;
};

/// What the caller is told.
struct Reply
{
    base::WorkStatus work = base::WorkStatus::Unknown;
    base::Result code = base::Result::Ok;
    std::optional<Answer> answer; ///< Present if and only if `code` is `Ok`.

    bool operator==(const Reply &) const = default;
};

/// State of one attempt. Only `step` changes it.
struct Attempt
{
    AttemptRequest request;
    AttemptPhase phase = AttemptPhase::Idle;
    PendingWrite write;
    std::string intentId;      ///< Write id of the intent that this attempt has to bring to an end.
    bool hasReplied = false;   ///< The caller has its reply; the attempt only settles the row.
    bool mayBeApplied = false; ///< A copy of `write` was sent and its response was lost.
    int roundCount = 0;
    std::uint64_t version = 0; ///< Version of the row with this attempt's intent.
    Reply pendingReply;        ///< Given when the current write is settled.
};

// Events. At most one table operation and one dispatch of an attempt are outstanding at a time.

/// Starts the attempt.
struct Begin
{
};

/// Starts the attempt only to refuse it: no capacity, no target, shutdown. The order is closed, so
/// that a copy of the call that arrives later at another instance does not run it.
struct Refuse
{
    base::Result code = base::Result::Overloaded;
};

/// The store applied the write.
struct WriteApplied
{
    std::uint64_t version = 0;
};

/// The store answered 409 with the current row. `hasOwnerEnded` tells whether the process life
/// `row.row.ownerLife` is known to have ended.
struct WriteConflict
{
    StoredRow row;
    bool hasOwnerEnded = false;
};

/// The write was certainly not applied: the connection was refused or the store declined.
struct WriteNotApplied
{
};

/// The write was sent and its response did not arrive.
struct WriteUnconfirmed
{
};

/// Result of a read; no row if it does not exist.
struct RowRead
{
    std::optional<StoredRow> row;
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

/// The service answered. Any complete HTTP response counts, also one with an error status.
struct TargetAnswered
{
    Answer answer;
};

/// The request was sent, at least in part, and no complete response will arrive.
struct AnswerLost
{
};

/// The caller's deadline has passed, or the caller has closed its connection.
struct CallerGone
{
};

using Event =
        std::variant<Begin, Refuse, WriteApplied, WriteConflict, WriteNotApplied, WriteUnconfirmed,
                     RowRead, ReadFailed, DispatchNotSent, TargetAnswered, AnswerLost, CallerGone>;

// Actions.

/// Write the row conditionally, after `delay`. Answered by one of the `Write...` events.
struct WriteRow
{
    PendingWrite write;
    std::chrono::milliseconds delay{ 0 };
};

/// Read the row, after `delay`. Answered by `RowRead` or `ReadFailed`.
struct ReadRow
{
    std::chrono::milliseconds delay{ 0 };
};

/// Send the request to a target. Another target may be tried only while no byte has been sent.
struct Dispatch
{
};

using Action = std::variant<WriteRow, ReadRow, Dispatch, Reply>;

/// Advances `attempt` by one event and returns what the caller of this function has to do, in
/// order. A `Reply` is returned at most once. After it, events must still be delivered until
/// `attempt.phase` is `Finished`, so that the row reaches a final state. `own` belongs to the
/// process life `attempt.request.ownLife`.
std::vector<Action> step(Attempt &attempt, OwnIntents &own, const Event &event, WallTime now);

} // namespace chervilfield::orders
