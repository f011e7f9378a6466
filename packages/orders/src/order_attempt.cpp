#include "orders/order_attempt.h"

#include <algorithm>
#include <utility>

namespace chervilfield::orders {

namespace {

using base::Result;
using base::WorkStatus;
using std::chrono::milliseconds;

constexpr milliseconds kInitialDelay{ 20 };
constexpr milliseconds kMaxDelayAfterReply{ 5000 };
constexpr milliseconds kMaxDelayBeforeReply{ 500 };

/// Returns the delay before round `round`: it doubles from `kInitialDelay` up to `maxDelay`.
milliseconds backoff(int round, milliseconds maxDelay)
{
    constexpr int kMaxShift = 10;
    return std::min(maxDelay, kInitialDelay * (1 << std::clamp(round, 0, kMaxShift)));
}

/// Applies one event to an attempt and collects the actions that follow.
class Stepper
{
public:
    Stepper(Attempt &attempt, OwnIntents &ownIntents, WallTime now)
        : attempt_(attempt), ownIntents_(ownIntents), now_(now)
    {
    }

    std::vector<Action> takeActions() { return std::move(actions_); }

    void handle(const Begin &)
    {
        if (attempt_.phase != AttemptPhase::Idle)
            return;
        attempt_.phase = AttemptPhase::Inserting;
        attempt_.intentId = attempt_.request.attemptId + "/intent";
        ownIntents_.add(intentId());
        startWrite(makeRow(RowState::Intent), 0, intentId());
    }

    void handle(const Refuse &event)
    {
        if (attempt_.phase != AttemptPhase::Idle)
            return;
        startClose(0, { .work = WorkStatus::NotRun, .code = event.code, .answer = std::nullopt });
    }

    void handle(const WriteApplied &event)
    {
        if (isWriting())
            onApplied(event.version);
    }

    void handle(const WriteConflict &event)
    {
        if (!isWriting())
            return;
        if (event.stored.writeId == attempt_.write.writeId)
            onApplied(event.stored.version);
        else
            onOtherRow(event.stored, event.hasOwnerEnded);
    }

    void handle(const WriteNotApplied &)
    {
        if (!isWriting())
            return;
        if (attempt_.mayBeApplied) {
            readBack();
        } else if (attempt_.phase == AttemptPhase::Inserting) {
            ownIntents_.remove(intentId());
            reply(WorkStatus::Unknown, Result::StoreUnavailable);
            attempt_.phase = AttemptPhase::Finished;
        } else {
            onStoreFailure();
            resendWrite();
        }
    }

    void handle(const WriteUnconfirmed &)
    {
        if (!isWriting())
            return;
        attempt_.mayBeApplied = true;
        onStoreFailure();
        readBack();
    }

    void handle(const RowRead &event)
    {
        if (attempt_.phase == AttemptPhase::Following) {
            if (event.stored)
                follow(*event.stored, event.hasOwnerEnded);
            else
                poll();
            return;
        }
        if (!isWriting())
            return;
        const std::uint64_t version = event.stored ? event.stored->version : 0;
        if (event.stored && event.stored->writeId == attempt_.write.writeId)
            onApplied(version);
        else if (version == attempt_.write.ifVersion)
            onUnchangedRow();
        else if (version < attempt_.write.ifVersion)
            readBack(); // The read was stale: older than a version that the store confirmed before.
        else
            onOtherRow(*event.stored, event.hasOwnerEnded);
    }

    void handle(const ReadFailed &)
    {
        if (attempt_.phase == AttemptPhase::Following)
            poll();
        else if (isWriting())
            readBack();
    }

    void handle(const DispatchNotSent &event)
    {
        if (attempt_.phase != AttemptPhase::Dispatching)
            return;
        ownIntents_.abandon(intentId(), true);
        // The row holds this attempt's intent, so no other attempt can dispatch the order:
        // `not-run` is true even before the row is closed.
        reply(WorkStatus::NotRun, event.code);
        startClose(attempt_.version, {});
    }

    void handle(const TargetAnswered &event)
    {
        if (attempt_.phase != AttemptPhase::Dispatching)
            return;
        OrderRow row = makeRow(RowState::Ran);
        row.answerExpires = now_ + attempt_.request.options.answerLifetime;
        if (event.answer.body.size() <= attempt_.request.options.maxStoredBodyBytes)
            row.answer = event.answer;
        attempt_.pendingReply = { .work = WorkStatus::Ran,
                                  .code = Result::Ok,
                                  .answer = event.answer };
        attempt_.phase = AttemptPhase::Recording;
        startWrite(std::move(row), attempt_.version, outcomeId());
    }

    void handle(const AnswerLost &)
    {
        if (attempt_.phase != AttemptPhase::Dispatching)
            return;
        reply(WorkStatus::Unknown, Result::OrderUndecided);
        attempt_.phase = AttemptPhase::Recording;
        startWrite(makeRow(RowState::Undecided), attempt_.version, outcomeId());
    }

    void handle(const CallerGone &)
    {
        switch (attempt_.phase) {
        case AttemptPhase::Idle:
            attempt_.phase = AttemptPhase::Finished;
            reply(WorkStatus::Unknown, Result::RequestTimeout);
            break;
        case AttemptPhase::Inserting:
            ownIntents_.abandon(intentId(), false);
            reply(WorkStatus::Unknown, Result::WriteUndecided);
            break;
        case AttemptPhase::Dispatching:
            reply(WorkStatus::Unknown, Result::ProgressTimeout);
            break;
        case AttemptPhase::Recording:
            replyPending();
            break;
        case AttemptPhase::Closing:
            reply(WorkStatus::Unknown, Result::WriteUndecided);
            break;
        case AttemptPhase::Following:
            reply(WorkStatus::Unknown, Result::OrderInProgress);
            attempt_.phase = AttemptPhase::Finished;
            break;
        case AttemptPhase::Finished:
            break;
        }
    }

private:
    const std::string &intentId() const { return attempt_.intentId; }
    std::string outcomeId() const { return attempt_.request.attemptId + "/outcome"; }
    std::string closeId() const { return attempt_.request.attemptId + "/close"; }

    bool isWriting() const
    {
        return attempt_.phase == AttemptPhase::Inserting
               || attempt_.phase == AttemptPhase::Recording
               || attempt_.phase == AttemptPhase::Closing;
    }

    OrderRow makeRow(RowState state) const
    {
        return { .state = state,
                 .ownerLife = attempt_.request.ownLife,
                 .fingerprint = attempt_.request.fingerprint,
                 .created = now_,
                 .answerExpires = {},
                 .answer = std::nullopt };
    }

    void startWrite(OrderRow row, std::uint64_t ifVersion, std::string writeId)
    {
        attempt_.write = { .row = std::move(row),
                           .ifVersion = ifVersion,
                           .writeId = std::move(writeId) };
        attempt_.mayBeApplied = false;
        attempt_.roundCount = 0;
        actions_.emplace_back(WriteRow{ attempt_.write, milliseconds(0) });
    }

    void startClose(std::uint64_t ifVersion, Reply whenClosed)
    {
        attempt_.phase = AttemptPhase::Closing;
        attempt_.pendingReply = std::move(whenClosed);
        startWrite(makeRow(RowState::Closed), ifVersion, closeId());
    }

    void reply(WorkStatus work, Result code, std::optional<Answer> answer = std::nullopt)
    {
        if (attempt_.hasReplied)
            return;
        attempt_.hasReplied = true;
        actions_.emplace_back(Reply{ work, code, std::move(answer) });
    }

    void replyPending()
    {
        reply(attempt_.pendingReply.work, attempt_.pendingReply.code, attempt_.pendingReply.answer);
    }

    /// Replies as soon as recording an outcome fails once: the answer is known and need not wait
    /// for the store.
    void onStoreFailure()
    {
        if (attempt_.phase == AttemptPhase::Recording)
            replyPending();
    }

    /// Counts a round and enforces `maxRoundsBeforeReply` and `maxRoundsAfterReply`. Returns false
    /// if the attempt has finished.
    bool startRound()
    {
        const AttemptOptions &options = attempt_.request.options;
        ++attempt_.roundCount;
        if (!attempt_.hasReplied && attempt_.roundCount >= options.maxRoundsBeforeReply)
            handle(CallerGone{});
        if (attempt_.hasReplied && attempt_.roundCount >= options.maxRoundsAfterReply)
            attempt_.phase = AttemptPhase::Finished;
        return attempt_.phase != AttemptPhase::Finished;
    }

    milliseconds nextDelay() const
    {
        return backoff(attempt_.roundCount,
                       attempt_.hasReplied ? kMaxDelayAfterReply : kMaxDelayBeforeReply);
    }

    void readBack()
    {
        const milliseconds delay = attempt_.roundCount == 0 ? milliseconds(0) : nextDelay();
        if (startRound())
            actions_.emplace_back(ReadRow{ delay });
    }

    void resendWrite()
    {
        const milliseconds delay = nextDelay();
        if (startRound())
            actions_.emplace_back(WriteRow{ attempt_.write, delay });
    }

    void poll()
    {
        const milliseconds delay = nextDelay();
        if (startRound())
            actions_.emplace_back(ReadRow{ delay });
    }

    /// Continues after the write of the current phase is confirmed as applied.
    void onApplied(std::uint64_t version)
    {
        if (attempt_.phase != AttemptPhase::Inserting) {
            ownIntents_.remove(intentId());
            replyPending();
            attempt_.phase = AttemptPhase::Finished;
            return;
        }
        attempt_.version = version;
        if (!attempt_.hasReplied && ownIntents_.tryClaimDispatch(intentId())) {
            attempt_.phase = AttemptPhase::Dispatching;
            actions_.emplace_back(Dispatch{});
            return;
        }
        startClose(version, {});
    }

    /// Handles a row that is as it was before the write. An earlier copy of the write may still be
    /// applied later.
    void onUnchangedRow()
    {
        if (attempt_.phase == AttemptPhase::Inserting && attempt_.hasReplied)
            startClose(0, {});
        else
            resendWrite();
    }

    /// Handles a row that was written by another write than the current one.
    void onOtherRow(const StoredRow &stored, bool hasOwnerEnded)
    {
        switch (attempt_.phase) {
        case AttemptPhase::Closing:
            if (stored.writeId == intentId()) {
                // A delayed copy of the intent was applied before the closing write.
                attempt_.write.ifVersion = stored.version;
                actions_.emplace_back(WriteRow{ attempt_.write, milliseconds(0) });
                return;
            }
            break;
        case AttemptPhase::Recording:
            replyPending();
            break;
        default:
            break;
        }
        ownIntents_.remove(intentId());
        if (attempt_.hasReplied) {
            attempt_.phase = AttemptPhase::Finished;
            return;
        }
        attempt_.roundCount = 0;
        follow(stored, hasOwnerEnded);
    }

    /// Replies from the row of another attempt, or polls while that attempt may still change it.
    void follow(const StoredRow &stored, bool hasOwnerEnded)
    {
        attempt_.phase = AttemptPhase::Following;
        const OrderRow &row = stored.row;
        if (row.fingerprint != attempt_.request.fingerprint) {
            finish(WorkStatus::NotRun, Result::FingerprintMismatch);
            return;
        }
        switch (row.state) {
        case RowState::Ran:
            finish(WorkStatus::Ran, row.answer ? Result::Ok : Result::AnswerExpired, row.answer);
            break;
        case RowState::Undecided:
            finish(WorkStatus::Unknown, Result::OrderUndecided);
            break;
        case RowState::Closed:
            finish(WorkStatus::NotRun, Result::OrderClosed);
            break;
        case RowState::Intent:
            followIntent(stored, hasOwnerEnded);
            break;
        }
    }

    void followIntent(const StoredRow &stored, bool hasOwnerEnded)
    {
        const bool isOwn = stored.row.ownerLife == attempt_.request.ownLife;
        if (isOwn && ownIntents_.canClose(stored.writeId)) {
            // This life never dispatched the order, and only the owner of the intent may do so.
            reply(WorkStatus::NotRun, Result::OrderClosed);
            attempt_.intentId = stored.writeId;
            startClose(stored.version, {});
        } else if (!isOwn && hasOwnerEnded) {
            finish(WorkStatus::Unknown, Result::OrderUndecided);
        } else {
            poll();
        }
    }

    void finish(WorkStatus work, Result code, std::optional<Answer> answer = std::nullopt)
    {
        reply(work, code, std::move(answer));
        attempt_.phase = AttemptPhase::Finished;
    }

    Attempt &attempt_;
    OwnIntents &ownIntents_;
    WallTime now_;
    std::vector<Action> actions_;
};

} // namespace

std::vector<Action> step(Attempt &attempt, OwnIntents &ownIntents, const Event &event, WallTime now)
{
    Stepper stepper(attempt, ownIntents, now);
    std::visit([&stepper](const auto &concrete) { stepper.handle(concrete); }, event);
    return stepper.takeActions();
}

} // namespace chervilfield::orders
