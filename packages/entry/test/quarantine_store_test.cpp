#include "entry/quarantine_store.h"

#include "base/result.h"
#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::entry {

using quarantine::QuarantinedPart;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr milliseconds kTolerance = minutes(2);
constexpr milliseconds kDuration = minutes(10);
// Wall clock time of the tests.
constexpr milliseconds kWallNow{ 1'800'000'000'000 };

// An instance that uses the store. `active` has what its quarantine enforces.
struct Instance
{
    Instance(boost::asio::io_context &ioContext, FakeStore &fakeStore, std::size_t instanceRank)
        : context(ioContext), rank(instanceRank),
          store(ioContext, fakeStore, log,
                { .rank = [this] { return rank; },
                  .loaded =
                          [this](const QuarantinedPart &part) {
                              loaded.push_back(part);
                              active.push_back(part);
                          },
                  .saved =
                          [this](const auto &parts) {
                              saved.insert(saved.end(), parts.begin(), parts.end());
                          } },
                { .checkInterval = milliseconds(1),
                  .standbyDelay = milliseconds(400),
                  .minBackoff = milliseconds(2),
                  .maxBackoff = milliseconds(8),
                  .clockTolerance = kTolerance,
                  .wallNow = [this] { return std::chrono::system_clock::time_point(wallNow); } })
    {
        store.start();
    }

    void quarantinePart(quarantine::PartKey part, milliseconds remaining = kDuration)
    {
        std::erase_if(active, [part](const auto &entry) { return entry.part == part; });
        active.push_back({ .part = part, .remaining = remaining });
        update();
    }

    void update() { store.update(active, QuarantineStore::Clock::now()); }

    // Runs the context, so that an instance that calls the store too often does so.
    void runBriefly() { context.run_for(milliseconds(40)); }

    boost::asio::io_context &context;
    std::size_t rank;
    milliseconds wallNow = kWallNow;
    std::vector<QuarantinedPart> active;
    std::vector<QuarantinedPart> loaded;
    std::vector<QuarantinedPart> saved;
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    QuarantineStore store;
};

struct Fixture
{
    std::unique_ptr<Instance> makeInstance(std::size_t rank = 0)
    {
        return std::make_unique<Instance>(context, store, rank);
    }

    std::vector<quarantine::PartKey> savedParts() const
    {
        std::error_code error;
        std::vector<quarantine::PartKey> parts;
        const auto row = decodeQuarantines(store.valueOf("quarantines", "parts"), error);
        for (const SavedQuarantine &quarantine : row.value_or(std::vector<SavedQuarantine>()))
            parts.push_back(quarantine.part);
        std::ranges::sort(parts);
        return parts;
    }

    bool runUntilSaved(const std::vector<quarantine::PartKey> &parts)
    {
        return runUntil(context, [&] { return savedParts() == parts; });
    }

    boost::asio::io_context context;
    FakeStore store;
};

using Parts = std::vector<quarantine::PartKey>;

} // namespace

class QuarantineStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineStoreTest);
    CPPUNIT_TEST(rowsSurviveRoundTrip);
    CPPUNIT_TEST(malformedRowsAreRejected);
    CPPUNIT_TEST(remainingTimeToleratesClockErrors);
    CPPUNIT_TEST(quarantineIsSavedOnce);
    CPPUNIT_TEST(quarantineIsSavedDespiteFailures);
    CPPUNIT_TEST(writersKeepEachOthersQuarantines);
    CPPUNIT_TEST(standbySavesOnlyWhatIsNotSaved);
    CPPUNIT_TEST(restartedInstanceLoadsQuarantines);
    CPPUNIT_TEST(malformedRowIsReplaced);
    CPPUNIT_TEST(extendedQuarantineIsSavedAgain);
    CPPUNIT_TEST(liftedQuarantineIsRemoved);
    CPPUNIT_TEST(quarantineLiftedDuringWriteIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that quarantines survive the codec. Guards against parts or times that it changes.
    void rowsSurviveRoundTrip()
    {
        const std::vector<SavedQuarantine> rows[] = {
            {},
            { { 0, milliseconds(0), milliseconds(0) } },
            { { ~quarantine::PartKey(0), kWallNow, kDuration }, { 7, kWallNow, minutes(60) } },
        };
        for (const auto &row : rows) {
            std::error_code error;
            CPPUNIT_ASSERT(decodeQuarantines(encodeQuarantines(row), error) == row);
        }
    }

    // Tests what is read of malformed rows. Guards against a row that stops an instance, or one
    // entry that hides the others.
    void malformedRowsAreRejected()
    {
        const std::string good = R"({"part":"000000000000002a","savedAtMs":1,"durationMs":2})";
        struct Row
        {
            std::string value;
            int entries; ///< -1 if the whole value is rejected.
        };
        const Row rows[] = {
            { "", -1 },
            { "x", -1 },
            { "[]", -1 },
            { "{}", -1 },
            { R"({"parts":1})", -1 },
            { R"({"parts":[]})", 0 },
            { R"({"parts":[)" + good + "]}", 1 },
            { R"({"parts":[)" + good + R"(],"later":1})", 1 },
            { R"({"parts":[1,)" + good + "]}", 1 },
            { R"({"parts":[{}]})", 0 },
            { R"({"parts":[{"part":42,"savedAtMs":1,"durationMs":2}]})", 0 },
            { R"({"parts":[{"part":"xyz","savedAtMs":1,"durationMs":2}]})", 0 },
            { R"({"parts":[{"part":"2a","savedAtMs":-1,"durationMs":2}]})", 0 },
            { R"({"parts":[{"part":"2a","savedAtMs":1,"durationMs":-2}]})", 0 },
            { R"({"parts":[{"part":"2a","savedAtMs":1,"durationMs":3600001}]})", 0 },
            { R"({"parts":[{"part":"2a","savedAtMs":1e99,"durationMs":1}]})", 0 },
            { R"({"parts":[{"part":"2a","savedAtMs":"1","durationMs":1}]})", 0 },
        };
        for (const Row &row : rows) {
            std::error_code error;
            const auto decoded = decodeQuarantines(row.value, error);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.value, row.entries,
                                         decoded ? static_cast<int>(decoded->size()) : -1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.value, row.entries < 0, static_cast<bool>(error));
        }
    }

    // Tests the remaining time of a quarantine by the difference of the reader's clock from the
    // time when it was saved. Guards against a quarantine that a clock error ends early or keeps
    // for ever.
    void remainingTimeToleratesClockErrors()
    {
        struct Row
        {
            std::string name;
            milliseconds age;
            milliseconds duration;
            std::optional<milliseconds> remaining;
        };
        const milliseconds tick(1);
        const Row rows[] = {
            { "just saved", milliseconds(0), kDuration, kDuration },
            { "clock a minute late", -minutes(1), kDuration, kDuration },
            { "clock late by the tolerance", -kTolerance, kDuration, kDuration },
            { "clock later than the tolerance", -kTolerance - tick, kDuration, std::nullopt },
            { "clock late by years", -kWallNow, kDuration, std::nullopt },
            { "half of it passed", minutes(5), kDuration, minutes(7) },
            { "clock a minute early at its end", minutes(11), kDuration, minutes(1) },
            { "longest", kDuration + kTolerance - tick, kDuration, tick },
            { "ended", kDuration + kTolerance, kDuration, std::nullopt },
            { "ended long ago", kWallNow, kDuration, std::nullopt },
            { "no duration", kTolerance, milliseconds(0), std::nullopt },
        };
        for (const Row &row : rows) {
            const SavedQuarantine quarantine{ 1, kWallNow - row.age, row.duration };
            CPPUNIT_ASSERT_MESSAGE(row.name, remainingTime(quarantine, kWallNow, kTolerance)
                                                     == row.remaining);
        }
        const SavedQuarantine latest{ 1, milliseconds::max(), kDuration };
        CPPUNIT_ASSERT(!remainingTime(latest, milliseconds(0), kTolerance));
    }

    // Tests that a quarantine costs one write, and that nothing is called before and after. Guards
    // against calls that the platform bills without need.
    void quarantineIsSavedOnce()
    {
        Fixture f;
        const auto instance = f.makeInstance();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.fullReads == 1; }));
        instance->update();
        instance->runBriefly();
        CPPUNIT_ASSERT_EQUAL(0, f.store.writes);
        instance->quarantinePart(1);
        CPPUNIT_ASSERT(f.runUntilSaved({ 1 }));
        instance->update();
        instance->runBriefly();
        CPPUNIT_ASSERT_EQUAL(1, f.store.writes);
        CPPUNIT_ASSERT_EQUAL(1, f.store.fullReads);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance->saved.size());
        CPPUNIT_ASSERT(instance->store.isSaved(instance->active[0], QuarantineStore::Clock::now()));
    }

    // Tests that a quarantine reaches the row whatever fails at first. Guards against quarantines
    // that exist only in memory after an outage of the store.
    void quarantineIsSavedDespiteFailures()
    {
        struct Row
        {
            std::string name;
            bool isDownAtStart;
            bool isDownAtWrite;
            bool dropsReplies;
            int minRefusedCalls;
            int writes;
        };
        const Row rows[] = {
            { "store down at the start", true, false, false, 3, 1 },
            { "store down at the write", false, true, false, 3, 1 },
            { "store down at both", true, true, false, 3, 1 },
            { "answer to the write lost", false, false, true, 0, 1 },
        };
        for (const Row &row : rows) {
            Fixture f;
            f.store.isUnreachable = row.isDownAtStart;
            f.store.dropsWriteReplies = row.dropsReplies;
            const auto instance = f.makeInstance();
            CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.fullReads > 0; }));
            f.store.isUnreachable = row.isDownAtWrite || row.isDownAtStart;
            instance->quarantinePart(1);
            const auto hasFailed = [&] { return f.store.refusedCalls >= row.minRefusedCalls; };
            CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, hasFailed));
            f.store.isUnreachable = false;
            CPPUNIT_ASSERT_MESSAGE(row.name, f.runUntilSaved({ 1 }));
            const auto isDone = [&] {
                return instance->store.isSaved({ .part = 1, .remaining = kDuration },
                                               QuarantineStore::Clock::now());
            };
            CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, isDone));
            instance->runBriefly();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.writes, f.store.writes);
        }
    }

    // Tests that instances that save different quarantines at the same time keep each other's, and
    // that those which have ended are removed. Guards against lost quarantines and a growing row.
    void writersKeepEachOthersQuarantines()
    {
        Fixture f;
        f.store.put("quarantines", "parts",
                    encodeQuarantines({ { 8, kWallNow - minutes(30), kDuration },
                                        { 9, kWallNow - minutes(5), kDuration } }));
        const auto first = f.makeInstance();
        const auto second = f.makeInstance();
        first->runBriefly();
        first->quarantinePart(1);
        second->quarantinePart(2);
        second->quarantinePart(3);
        CPPUNIT_ASSERT(f.runUntilSaved({ 1, 2, 3, 9 }));
        first->quarantinePart(4);
        CPPUNIT_ASSERT(f.runUntilSaved({ 1, 2, 3, 4, 9 }));
        first->runBriefly();
        CPPUNIT_ASSERT_EQUAL(3, f.store.writes);
    }

    // Tests when an instance saves a quarantine that another one should save first. Guards against
    // a write from each instance, and against quarantines that nobody saves.
    void standbySavesOnlyWhatIsNotSaved()
    {
        struct Row
        {
            std::string name;
            bool isMarked; ///< Whether the first instance reports that it has saved the part.
            int writes;
        };
        const Row rows[] = { { "saved by another", true, 0 }, { "saved by nobody", false, 1 } };
        for (const Row &row : rows) {
            Fixture f;
            const auto instance = f.makeInstance(1);
            instance->runBriefly();
            instance->quarantinePart(1);
            instance->runBriefly();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0, f.store.writes);
            if (row.isMarked)
                instance->store.markSaved(instance->active[0], QuarantineStore::Clock::now());
            instance->update();
            f.context.run_for(milliseconds(800));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.writes, f.store.writes);
        }
    }

    // Tests which quarantines an instance has after all have restarted. Guards against parts that
    // crash engines again after a restart, and against writes of what the row already holds.
    void restartedInstanceLoadsQuarantines()
    {
        struct Row
        {
            std::string name;
            milliseconds offTime; ///< Time without instances, by the wall clock.
            Parts parts;
        };
        const Row rows[] = {
            { "at once", milliseconds(100), { 1, 2 } },
            { "clock set back", -minutes(1), { 1, 2 } },
            { "after the end of one", minutes(9), { 1 } },
            { "after the end of both", minutes(20), {} },
        };
        for (const Row &row : rows) {
            Fixture f;
            const auto instance = f.makeInstance();
            instance->quarantinePart(1);
            instance->quarantinePart(2, minutes(6));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.runUntilSaved({ 1, 2 }));
            boost::asio::io_context context;
            Instance restarted(context, f.store, 0);
            restarted.wallNow += row.offTime;
            context.run_for(milliseconds(40));
            Parts loaded;
            for (const QuarantinedPart &part : restarted.loaded) {
                CPPUNIT_ASSERT_MESSAGE(row.name, part.remaining <= kDuration);
                loaded.push_back(part.part);
            }
            std::ranges::sort(loaded);
            CPPUNIT_ASSERT_MESSAGE(row.name, loaded == row.parts);
            restarted.update();
            context.run_for(milliseconds(40));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, f.store.writes);
        }
    }

    // Tests that the next write replaces a malformed row. Guards against a row that prevents all
    // instances from saving.
    void malformedRowIsReplaced()
    {
        Fixture f;
        f.store.put("quarantines", "parts", "not JSON");
        const auto instance = f.makeInstance();
        instance->runBriefly();
        CPPUNIT_ASSERT(instance->loaded.empty());
        instance->quarantinePart(1);
        CPPUNIT_ASSERT(f.runUntilSaved({ 1 }));
    }

    // Tests whether a quarantine that is lifted leaves the row. Guards against a restarted instance
    // that loads a lifted quarantine and passes it on, and against a read by each instance.
    void liftedQuarantineIsRemoved()
    {
        struct Row
        {
            std::string name;
            std::size_t rank;
            bool isDown; ///< Whether the store is down when the quarantine is lifted.
            bool isInRow;
            Parts parts;
            int reads; ///< Without those that the store refuses.
            int writes;
        };
        const Row rows[] = {
            { "removed", 0, false, true, { 2 }, 2, 1 },
            { "store down", 0, true, true, { 2 }, 2, 1 },
            { "not in the row", 0, false, false, { 2 }, 2, 0 },
            { "high rank", 3, false, true, { 1, 2 }, 1, 0 },
        };
        for (const Row &row : rows) {
            Fixture f;
            std::vector<SavedQuarantine> saved{ { 2, kWallNow, kDuration } };
            if (row.isInRow)
                saved.push_back({ 1, kWallNow, kDuration });
            f.store.put("quarantines", "parts", encodeQuarantines(saved));
            const auto instance = f.makeInstance(row.rank);
            CPPUNIT_ASSERT(
                    runUntil(f.context, [&] { return instance->loaded.size() == saved.size(); }));
            f.store.isUnreachable = row.isDown;
            instance->store.lift(1, QuarantineStore::Clock::now());
            std::erase_if(instance->active, [](const auto &part) { return part.part == 1; });
            instance->update();
            instance->runBriefly();
            f.store.isUnreachable = false;
            CPPUNIT_ASSERT_MESSAGE(row.name, f.runUntilSaved(row.parts));
            instance->update();
            instance->runBriefly();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.reads,
                                         f.store.fullReads - f.store.refusedCalls);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.writes, f.store.writes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, saved.size(),
                                         instance->loaded.size() - (row.reads > 1 ? 1 : 0));
        }
    }

    // Tests that a quarantine that is lifted while it is written leaves the row. Guards against a
    // lift that is overtaken by the answer to the write.
    void quarantineLiftedDuringWriteIsRemoved()
    {
        Fixture f;
        const auto instance = f.makeInstance();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.fullReads == 1; }));
        f.store.onWrite = [&] {
            instance->store.lift(1, QuarantineStore::Clock::now());
            instance->active.clear();
        };
        instance->quarantinePart(1);
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.writes == 1; }));
        instance->update();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.writes == 2; }));
        CPPUNIT_ASSERT(f.savedParts().empty());
    }

    // Tests from which extension on a quarantine is saved again. Guards against a row that ends
    // much earlier than the quarantine, and against writes that clock errors cause.
    void extendedQuarantineIsSavedAgain()
    {
        struct Row
        {
            milliseconds savedTime;
            milliseconds extendedTime;
            int writes;
        };
        const Row rows[] = {
            { minutes(8), minutes(10), 1 },
            { minutes(6), minutes(9), 1 },
            { minutes(5), minutes(10), 2 },
        };
        for (const Row &row : rows) {
            Fixture f;
            const auto instance = f.makeInstance();
            instance->quarantinePart(1, row.savedTime);
            CPPUNIT_ASSERT(f.runUntilSaved({ 1 }));
            instance->quarantinePart(1, row.extendedTime);
            instance->runBriefly();
            CPPUNIT_ASSERT_EQUAL(row.writes, f.store.writes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineStoreTest);

} // namespace chervilfield::entry
