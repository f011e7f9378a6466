#include "orders/order_attempt.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace chervilfield::orders {

namespace {

using base::Result;
using base::WorkStatus;

/// Returns a uniformly distributed value of [low, high). The generator size is fixed, because
/// rapidcheck starts with small sizes, for which it narrows the range.
template<class T>
T draw(T low, T high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

/// Table service with one row. A write whose response is lost may be applied later.
struct Store
{
    std::optional<StoredRow> stored;
    std::vector<PendingWrite> delayedWrites; ///< Writes that may still be applied.

    Event write(const PendingWrite &write, bool hasOwnerEnded)
    {
        const std::uint64_t version = stored ? stored->version : 0;
        if (write.ifVersion != version)
            return WriteConflict{ *stored, hasOwnerEnded };
        stored = StoredRow{ write.row, version + 1, write.writeId };
        return WriteApplied{ version + 1 };
    }
};

/// One process life of the router.
struct Instance
{
    std::string life;
    bool isAlive = true;
    OwnIntents ownIntents;
};

/// One call and the attempt that serves it at an instance.
struct Caller
{
    Attempt attempt;
    Instance *instance = nullptr;
    std::optional<Action> pending; ///< Outstanding operation.
    std::optional<Event> response; ///< Result of the operation, not delivered yet.
    std::vector<Reply> replies;
};

/// Simulation of several instances that receive attempts of one order under random faults.
class OrderSimulation
{
public:
    OrderSimulation()
    {
        for (int i = 0; i < 3; ++i)
            addInstance();
    }

    void addInstance()
    {
        instances_.push_back(std::make_unique<Instance>());
        instances_.back()->life = "life" + std::to_string(instances_.size());
    }

    void addCaller()
    {
        Instance *instance = pick(instances_).get();
        if (!instance->isAlive)
            return;
        auto caller = std::make_unique<Caller>();
        caller->instance = instance;
        caller->attempt.request = { .rowKey = "orders/c/k",
                                    .fingerprint = draw(0, 8) == 0 ? "other" : "same",
                                    .ownLife = instance->life,
                                    .attemptId = std::to_string(callers_.size()),
                                    .options = {} };
        callers_.push_back(std::move(caller));
        const bool refuse = draw(0, 5) == 0;
        deliver(*callers_.back(), refuse ? Event(Refuse{}) : Event(Begin{}));
    }

    void runRandomStep()
    {
        const int choice = draw(0, 20);
        if (choice < 4)
            addCaller();
        else if (choice == 4)
            crash(*pick(instances_));
        else if (choice < 7)
            applyDelayedWrite();
        else if (choice == 7)
            deliver(*pick(callers_), CallerGone{});
        else
            runPending(*pick(callers_), draw(0, 8));
    }

    /// Completes all outstanding operations without faults until nothing is left to do.
    void finishWithoutFaults()
    {
        constexpr int kMaxRounds = 1000;
        for (int round = 0; round < kMaxRounds && hasPending(); ++round) {
            areFaultsStopped_ = true;
            applyAllDelayedWrites();
            for (const auto &caller : callers_)
                runPending(*caller, 0);
        }
    }

    /// Checks what must hold at any time: the order runs at most once, and each reply is true.
    void check() const
    {
        RC_ASSERT(executions_.size() <= 1U);
        for (const auto &caller : callers_) {
            RC_ASSERT(caller->replies.size() <= 1U);
            for (const Reply &reply : caller->replies)
                checkReply(*caller, reply);
        }
    }

    /// Checks that every attempt of a live instance has replied and finished.
    void checkFinished() const
    {
        for (const auto &caller : callers_) {
            if (!caller->instance->isAlive)
                continue;
            RC_ASSERT(caller->attempt.phase == AttemptPhase::Finished);
            RC_ASSERT(caller->replies.size() == 1U);
            RC_ASSERT(caller->instance->ownIntents.size() == 0U);
        }
    }

private:
    template<class T>
    T &pick(std::vector<T> &items)
    {
        return items[draw<std::size_t>(0, items.size())];
    }

    void checkReply(const Caller &caller, const Reply &reply) const
    {
        const std::string &requestFingerprint = caller.attempt.request.fingerprint;
        const bool ran = std::ranges::count(executions_, requestFingerprint) > 0;
        if (reply.work == WorkStatus::NotRun)
            RC_ASSERT(!ran);
        if (reply.work == WorkStatus::Ran) {
            RC_ASSERT(ran);
            RC_ASSERT(reply.answer->body == requestFingerprint);
        }
    }

    void deliver(Caller &caller, const Event &event)
    {
        if (!caller.instance->isAlive)
            return;
        for (Action &action : step(caller.attempt, caller.instance->ownIntents, event, {})) {
            if (const auto *reply = std::get_if<Reply>(&action)) {
                caller.replies.push_back(*reply);
            } else {
                RC_ASSERT(!caller.pending);
                caller.pending = std::move(action);
            }
        }
    }

    bool hasPending() const
    {
        return std::ranges::any_of(callers_, [](const auto &caller) {
            return caller->instance->isAlive && caller->pending;
        });
    }

    /// Returns whether the owner of the row is reported as ended. The report is sometimes wrong:
    /// safety must not depend on it.
    bool hasOwnerEnded() const
    {
        if (!store_.stored)
            return false;
        const auto owner = std::ranges::find(instances_, store_.stored->row.ownerLife,
                                             [](const auto &item) { return item->life; });
        return !(*owner)->isAlive || (!areFaultsStopped_ && draw(0, 10) == 0);
    }

    /// Runs the outstanding operation of the caller, if any, and delivers the response unless it is
    /// delayed. `fault` selects the fault of the operation: 1 to 4, depending on the operation; any
    /// other value means none.
    void runPending(Caller &caller, int fault)
    {
        if (!caller.instance->isAlive || !caller.pending)
            return;
        if (!caller.response)
            caller.response = runAction(caller, *caller.pending, fault);
        if (!areFaultsStopped_ && draw(0, 3) == 0)
            return; // The response is delayed and may be outdated when it arrives.
        caller.pending.reset();
        const Event response = *caller.response;
        caller.response.reset();
        deliver(caller, response);
    }

    Event runAction(const Caller &caller, const Action &action, int fault)
    {
        if (const auto *write = std::get_if<WriteRow>(&action))
            return runWrite(write->write, fault);
        if (std::holds_alternative<Dispatch>(action))
            return runDispatch(caller.attempt.request.fingerprint, fault);
        if (fault == 1)
            return ReadFailed{};
        return RowRead{ store_.stored, hasOwnerEnded() };
    }

    Event runWrite(const PendingWrite &write, int fault)
    {
        switch (fault) {
        case 1:
            return WriteNotApplied{};
        case 2:
            store_.write(write, false);
            return WriteUnconfirmed{};
        case 3:
            store_.delayedWrites.push_back(write);
            return WriteUnconfirmed{};
        case 4:
            return WriteUnconfirmed{};
        default:
            return store_.write(write, hasOwnerEnded());
        }
    }

    Event runDispatch(const std::string &requestFingerprint, int fault)
    {
        if (fault == 1)
            return DispatchNotSent{};
        if (fault == 2)
            return AnswerLost{};
        executions_.push_back(requestFingerprint);
        if (fault == 3)
            return AnswerLost{};
        return TargetAnswered{ { 200, "text/plain", requestFingerprint } };
    }

    void crash(Instance &instance)
    {
        if (!instance.isAlive)
            return;
        instance.isAlive = false;
        for (const auto &caller : callers_) {
            if (caller->instance != &instance || !caller->pending || caller->response)
                continue;
            // The process may have crashed just after it sent the message.
            if (const auto *write = std::get_if<WriteRow>(&*caller->pending))
                store_.delayedWrites.push_back(write->write);
            else if (std::holds_alternative<Dispatch>(*caller->pending))
                executions_.push_back(caller->attempt.request.fingerprint);
        }
        addInstance();
    }

    void applyDelayedWrite()
    {
        if (store_.delayedWrites.empty())
            return;
        const std::size_t i = draw<std::size_t>(0, store_.delayedWrites.size());
        store_.write(store_.delayedWrites[i], false);
        store_.delayedWrites.erase(store_.delayedWrites.begin() + static_cast<std::ptrdiff_t>(i));
    }

    void applyAllDelayedWrites()
    {
        for (const PendingWrite &write : std::exchange(store_.delayedWrites, {}))
            store_.write(write, false);
    }

    Store store_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<std::string> executions_; ///< Fingerprints of the requests that ran.
    bool areFaultsStopped_ = false;
};

void runSimulation()
{
    OrderSimulation simulation;
    simulation.addCaller();
    const int steps = draw(1, 80);
    for (int i = 0; i < steps; ++i)
        simulation.runRandomStep();
    simulation.finishWithoutFaults();
    simulation.check();
    simulation.checkFinished();
}

StoredRow makeStored(RowState state, const std::string &life, const std::string &writeId)
{
    return { .row = { .state = state,
                      .ownerLife = life,
                      .fingerprint = "f",
                      .created = {},
                      .answerExpires = {},
                      .answer = std::nullopt },
             .version = 1,
             .writeId = writeId };
}

Reply makeReply(WorkStatus work, Result code)
{
    return { work, code, std::nullopt };
}

} // namespace

class OrderAttemptTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderAttemptTest);
    CPPUNIT_TEST(orderRunsAtMostOnceAndRepliesAreTrue);
    CPPUNIT_TEST(repliesFollowTheEvents);
    CPPUNIT_TEST(intentOfSameLifeIsClosedOnlyIfNotDispatched);
    CPPUNIT_TEST(everyCallerGetsReply);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that an attempt replies and finishes although every read fails. Guards against a call
    // that hangs while the store is down or while another attempt stays undecided.
    void everyCallerGetsReply()
    {
        const Event beginnings[] = {
            WriteUnconfirmed{}, WriteConflict{ makeStored(RowState::Intent, "other", "9/intent") }
        };
        for (const Event &beginning : beginnings) {
            Attempt attempt;
            attempt.request = { "k", "f", "life", "1", {} };
            OwnIntents ownIntents;
            step(attempt, ownIntents, Begin{}, {});
            step(attempt, ownIntents, beginning, {});
            for (int i = 0; i < 100 && !attempt.hasReplied; ++i)
                step(attempt, ownIntents, ReadFailed{}, {});
            CPPUNIT_ASSERT(attempt.hasReplied);
            for (int i = 0; i < 200; ++i)
                step(attempt, ownIntents, ReadFailed{}, {});
            CPPUNIT_ASSERT(attempt.phase == AttemptPhase::Finished);
        }
    }

    // Tests concurrent attempts of one order under crashes, lost and delayed writes and false
    // reports that the owner has ended. Guards against a second execution, a false `not-run`, the
    // answer to another request and an attempt that never finishes.
    void orderRunsAtMostOnceAndRepliesAreTrue()
    {
        const bool holds = rc::check("an order runs at most once", [] {
            constexpr int kSimulations = 100;
            for (int i = 0; i < kSimulations; ++i)
                runSimulation();
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests the reply to each sequence of events. Guards against a reply that states more than the
    // events prove, for example `not-run` while an earlier attempt may have run the order.
    void repliesFollowTheEvents()
    {
        struct Row
        {
            std::string name;
            std::vector<Event> events;
            std::optional<Reply> reply;
        };
        const Answer answer{ 200, "text/plain", "done" };
        const Event intent = WriteConflict{ makeStored(RowState::Intent, "other", "9/intent") };
        const Row rows[] = {
            { "answered",
              { Begin{}, WriteApplied{ 1 }, TargetAnswered{ answer }, WriteApplied{ 2 } },
              Reply{ WorkStatus::Ran, Result::Ok, answer } },
            { "answer is given although the outcome cannot be recorded",
              { Begin{}, WriteApplied{ 1 }, TargetAnswered{ answer }, WriteUnconfirmed{} },
              Reply{ WorkStatus::Ran, Result::Ok, answer } },
            { "store down: an earlier attempt may have run",
              { Begin{}, WriteNotApplied{} },
              makeReply(WorkStatus::Unknown, Result::StoreUnavailable) },
            { "refusal waits for the closed row", { Refuse{ Result::NoTarget } }, std::nullopt },
            { "refused",
              { Refuse{ Result::NoTarget }, WriteApplied{ 1 } },
              makeReply(WorkStatus::NotRun, Result::NoTarget) },
            { "refusal of a running order",
              { Refuse{ Result::NoTarget }, intent, CallerGone{} },
              makeReply(WorkStatus::Unknown, Result::OrderInProgress) },
            { "not sent",
              { Begin{}, WriteApplied{ 1 }, DispatchNotSent{} },
              makeReply(WorkStatus::NotRun, Result::TargetUnreachable) },
            { "answer lost",
              { Begin{}, WriteApplied{ 1 }, AnswerLost{} },
              makeReply(WorkStatus::Unknown, Result::OrderUndecided) },
            { "waits for another attempt", { Begin{}, intent }, std::nullopt },
            { "owner life ended",
              { Begin{}, WriteConflict{ makeStored(RowState::Intent, "other", "9"), true } },
              makeReply(WorkStatus::Unknown, Result::OrderUndecided) },
            { "closed",
              { Begin{}, WriteConflict{ makeStored(RowState::Closed, "other", "9") } },
              makeReply(WorkStatus::NotRun, Result::OrderClosed) },
            { "answer expired",
              { Begin{}, WriteConflict{ makeStored(RowState::Ran, "other", "9") } },
              makeReply(WorkStatus::Ran, Result::AnswerExpired) },
            { "intent not confirmed",
              { Begin{}, WriteUnconfirmed{}, ReadFailed{}, CallerGone{} },
              makeReply(WorkStatus::Unknown, Result::WriteUndecided) },
        };
        for (const Row &row : rows) {
            Attempt attempt;
            attempt.request = { "k", "f", "life", "1", {} };
            OwnIntents ownIntents;
            std::optional<Reply> reply;
            for (const Event &event : row.events) {
                for (const Action &action : step(attempt, ownIntents, event, {})) {
                    if (const auto *given = std::get_if<Reply>(&action))
                        reply = *given;
                }
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, reply == row.reply);
        }
    }

    // Tests that an attempt closes an abandoned intent of its own life only if the order was not
    // dispatched. Guards against replying `not-run` for an order that the same life dispatched.
    void intentOfSameLifeIsClosedOnlyIfNotDispatched()
    {
        for (const bool wasDispatched : { false, true }) {
            OwnIntents ownIntents;
            ownIntents.add("9/intent");
            if (wasDispatched)
                ownIntents.tryClaimDispatch("9/intent");
            ownIntents.abandon("9/intent", false);
            Attempt attempt;
            attempt.request = { "k", "f", "life", "1", {} };
            step(attempt, ownIntents, Begin{}, {});
            step(attempt, ownIntents,
                 WriteConflict{ makeStored(RowState::Intent, "life", "9/intent") }, {});
            CPPUNIT_ASSERT_EQUAL(!wasDispatched, attempt.hasReplied);
            CPPUNIT_ASSERT_EQUAL(!wasDispatched, attempt.phase == AttemptPhase::Closing);
            CPPUNIT_ASSERT_EQUAL(false, ownIntents.tryClaimDispatch("9/intent"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderAttemptTest);

} // namespace chervilfield::orders
