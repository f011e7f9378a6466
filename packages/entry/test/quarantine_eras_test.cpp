#include "entry/quarantine_store.h"

#include "fake_store.h"

#include "net/http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::entry {

using quarantine::QuarantinedPart;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr milliseconds kDuration = minutes(10);
using Parts = std::vector<quarantine::PartKey>;

// An instance that uses the store. `active` has what its quarantine enforces.
struct Instance
{
    Instance(boost::asio::io_context &context, FakeStore &fakeStore, std::size_t rank)
        : store(context, fakeStore, log,
                { .rank = [rank] { return rank; },
                  .loaded = [this](const QuarantinedPart &part) { adopt(part.part); },
                  .saved = [](const auto &) {} },
                { .checkInterval = milliseconds(1),
                  .standbyDelay = milliseconds(40),
                  .minBackoff = milliseconds(2),
                  .maxBackoff = milliseconds(8) })
    {
        store.start();
    }

    void adopt(quarantine::PartKey part)
    {
        std::erase_if(active, [part](const auto &entry) { return entry.part == part; });
        active.push_back({ .part = part, .remaining = kDuration });
    }
    void lift(quarantine::PartKey part)
    {
        std::erase_if(active, [part](const auto &entry) { return entry.part == part; });
        store.lift(part, QuarantineStore::Clock::now());
    }
    bool has(quarantine::PartKey part) const
    {
        return std::ranges::find(active, part, &QuarantinedPart::part) != active.end();
    }

    std::vector<QuarantinedPart> active;
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    QuarantineStore store;
};

// Two instances that tell each other which quarantines the store has.
struct Fixture
{
    Fixture()
    {
        for (std::size_t rank = 0; rank < 2; ++rank)
            instances.push_back(std::make_unique<Instance>(context, store, rank));
    }

    void exchange()
    {
        const auto now = QuarantineStore::Clock::now();
        for (const auto &from : instances) {
            for (const auto &to : instances) {
                for (const QuarantinedPart &part : from->active) {
                    if (isPeerBehind || (from != to && from->store.isSaved(part, now)))
                        to->store.markSaved(part, now);
                }
            }
            from->store.update(from->active, now);
        }
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        return entry::runUntil(context, [&] {
            exchange();
            return condition();
        });
    }
    void run(milliseconds time)
    {
        const auto endsAt = std::chrono::steady_clock::now() + time;
        runUntil([&] { return std::chrono::steady_clock::now() >= endsAt; });
    }
    void quarantinePart(quarantine::PartKey part)
    {
        for (const auto &instance : instances)
            instance->adopt(part);
    }
    Parts savedParts() const
    {
        std::error_code error;
        Parts parts;
        const auto row = decodeQuarantines(store.valueOf("quarantines", "parts"), error);
        for (const SavedQuarantine &quarantine : row.value_or(std::vector<SavedQuarantine>()))
            parts.push_back(quarantine.part);
        std::ranges::sort(parts);
        return parts;
    }

    boost::asio::io_context context;
    FakeStore store;
    /// Another instance does not know that the store was restored and states what it had.
    bool isPeerBehind = false;
    std::vector<std::unique_ptr<Instance>> instances;
};

enum class Step { Idle, BeforeWrite, AfterWrite, AfterWriteUnanswered, BeforeRead, AfterRead };
// A restoration of the store.
struct Restoration
{
    std::string name;
    Step step;
    bool hasRow; ///< Whether the restored copy has the row, with one of the quarantines.
};

std::vector<Restoration> makeRestorations()
{
    std::vector<Restoration> rows;
    for (const auto &[name, step] :
         { std::pair("idle", Step::Idle), std::pair("before a write", Step::BeforeWrite),
           std::pair("after a write", Step::AfterWrite),
           std::pair("after a write without answer", Step::AfterWriteUnanswered),
           std::pair("before a read", Step::BeforeRead),
           std::pair("after a read", Step::AfterRead) }) {
        for (const bool hasRow : { false, true })
            rows.push_back({ name, step, hasRow });
    }
    return rows;
}

} // namespace

class QuarantineErasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineErasTest);
    CPPUNIT_TEST(lostQuarantinesAreSavedAgain);
    CPPUNIT_TEST(liftedQuarantinesAreRemovedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against quarantines that exist only in memory after the store was restored at any step
    // of the protocol, because each instance believes another one that has not noticed it; and
    // against a write by each instance.
    void lostQuarantinesAreSavedAgain()
    {
        for (const Restoration &row : makeRestorations()) {
            const std::string name = row.name + std::string(row.hasRow ? ", row" : ", no row");
            Fixture f;
            FakeStore copy = f.store;
            f.quarantinePart(1);
            CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.savedParts() == Parts{ 1 }; }));
            if (row.hasRow)
                copy = f.store;
            f.quarantinePart(2);
            CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] {
                return f.savedParts() == Parts{ 1, 2 };
            }));
            f.run(milliseconds(10));
            const std::function<void()> restore = [&] { f.store.restore(copy); };
            const int writes = f.store.writes;
            Parts expected{ 1, 2 };
            int maxWrites = 1;
            if (row.step == Step::Idle) {
                restore();
            } else if (row.step == Step::BeforeRead || row.step == Step::AfterRead) {
                (row.step == Step::BeforeRead ? f.store.beforeRead : f.store.onRead) = restore;
                // A lift reads the row.
                f.instances[0]->store.lift(9, QuarantineStore::Clock::now());
                CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.store.currentEra() == 1; }));
            } else {
                (row.step == Step::BeforeWrite ? f.store.beforeWrite : f.store.onWrite) = restore;
                f.store.dropsWriteReplies = row.step == Step::AfterWriteUnanswered;
                f.quarantinePart(3);
                CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.store.currentEra() == 1; }));
                f.store.dropsWriteReplies = false;
                expected.push_back(3);
                // The one that is lost, and one that may have hit a row of the new era.
                maxWrites = 3;
            }
            // Other calls of the instance, such as polls of the deployment, tell it of the era.
            entry::runUntil(f.context, [&, rounds = 0]() mutable { return ++rounds > 3; });
            net::spawnCoroutine(f.context, "[test]", [&](const auto &yield) {
                std::error_code error;
                f.store.changes("deployment", 0, milliseconds(0), yield, error);
            });
            entry::runUntil(f.context, [&] { return f.store.era() == 1; });
            f.context.run_for(milliseconds(5));
            f.isPeerBehind = true;
            CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.savedParts() == expected; }));
            f.run(milliseconds(120));
            CPPUNIT_ASSERT_MESSAGE(name, f.savedParts() == expected);
            CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(f.store.writes - writes),
                                   f.store.writes - writes <= maxWrites);
            for (const auto &instance : f.instances) {
                for (const QuarantinedPart &part : instance->active)
                    CPPUNIT_ASSERT_MESSAGE(
                            name, instance->store.isSaved(part, QuarantineStore::Clock::now()));
            }
        }
    }

    // Guards against a lifted quarantine that returns with the restored row, to running or to newly
    // started instances.
    void liftedQuarantinesAreRemovedAgain()
    {
        for (const bool hasOther : { false, true }) {
            Fixture f;
            if (hasOther)
                f.quarantinePart(2);
            f.quarantinePart(1);
            const Parts both = hasOther ? Parts{ 1, 2 } : Parts{ 1 };
            const Parts rest = hasOther ? Parts{ 2 } : Parts{};
            CPPUNIT_ASSERT(f.runUntil([&] { return f.savedParts() == both; }));
            f.run(milliseconds(60));
            const FakeStore copy = f.store;
            for (const auto &instance : f.instances)
                instance->lift(1);
            CPPUNIT_ASSERT(f.runUntil([&] { return f.savedParts() == rest; }));
            f.run(milliseconds(100));
            f.store.restore(copy);
            net::spawnCoroutine(f.context, "[test]", [&](const auto &yield) {
                std::error_code error;
                f.store.changes("deployment", 0, milliseconds(0), yield, error);
            });
            CPPUNIT_ASSERT(f.runUntil([&] { return f.savedParts() == rest; }));
            f.run(milliseconds(100));
            CPPUNIT_ASSERT(f.savedParts() == rest);
            for (const auto &instance : f.instances)
                CPPUNIT_ASSERT(!instance->has(1) && instance->has(2) == hasOther);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineErasTest);

} // namespace chervilfield::entry
