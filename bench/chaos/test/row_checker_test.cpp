#include "chaos/checkers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::chaos {

namespace {

RowOperation write(double invoked, double returned, std::uint64_t ifVersion,
                   const std::string &writeId)
{
    return { invoked, returned, "k", "write", ifVersion, writeId, "ok", ifVersion + 1, writeId };
}

RowOperation conflict(double invoked, double returned, std::uint64_t ifVersion,
                      std::uint64_t version, const std::string &rowWriteId)
{
    return { invoked, returned, "k", "write", ifVersion, "z", "conflict", version, rowWriteId };
}

RowOperation read(double invoked, double returned, std::uint64_t version,
                  const std::string &rowWriteId)
{
    return { invoked, returned, "k", "read", 0, "", "ok", version, rowWriteId };
}

RowOperation lost(double invoked, std::uint64_t ifVersion, const std::string &writeId)
{
    return { invoked, 0, "k", "write", ifVersion, writeId, "lost", 0, "" };
}

/// Returns random operations on a correct row. Each takes effect between its invocation and return.
std::vector<RowOperation> recordCorrectRun()
{
    std::vector<RowOperation> operations;
    std::uint64_t version = 0;
    std::string writeId;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
        const double invoked = i - *rc::gen::inRange(0, 4);
        const double returned = i + *rc::gen::inRange(0, 4) + 0.5;
        const std::uint64_t ifVersion = version - (version > 0 ? *rc::gen::inRange(0, 2) : 0);
        const std::string id = "w" + std::to_string(i);
        const int kind = *rc::gen::inRange(0, 4);
        if (kind == 0) {
            operations.push_back(read(invoked, returned, version, writeId));
        } else if (kind == 1 && *rc::gen::arbitrary<bool>()) {
            operations.push_back(lost(invoked, ifVersion, id));
        } else if (ifVersion != version) {
            operations.push_back(conflict(invoked, returned, ifVersion, version, writeId));
        } else {
            if (kind == 1)
                operations.push_back(lost(invoked, ifVersion, id));
            else
                operations.push_back(write(invoked, returned, ifVersion, id));
            ++version;
            writeId = id;
        }
    }
    return operations;
}

} // namespace

class RowCheckerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RowCheckerTest);
    CPPUNIT_TEST(acceptsOnlyLinearizableHistories);
    CPPUNIT_TEST(acceptsCorrectRuns);
    CPPUNIT_TEST(rejectsAlteredRuns);
    CPPUNIT_TEST(checksRowsIndependently);
    CPPUNIT_TEST_SUITE_END();

    static bool isAccepted(std::vector<RowOperation> operations)
    {
        History history;
        history.rowOperations = std::move(operations);
        return checkRows(history).violations.empty();
    }

public:
    // Tests small histories with a known result. Guards against a checker that accepts a lost
    // update, a stale read or two successful writes of one version, or that rejects what
    // concurrency and lost responses allow.
    void acceptsOnlyLinearizableHistories()
    {
        struct Row
        {
            std::string name;
            std::vector<RowOperation> operations;
            bool accepted;
        };
        const Row rows[] = {
            { "sequence", { write(1, 2, 0, "a"), read(3, 4, 1, "a"), write(5, 6, 1, "b") }, true },
            { "two winners", { write(1, 2, 0, "a"), write(1, 2, 0, "b") }, false },
            { "winner and loser", { write(1, 4, 0, "a"), conflict(1, 4, 0, 1, "a") }, true },
            { "loser returned first", { write(3, 4, 0, "a"), conflict(1, 2, 0, 1, "a") }, false },
            { "conflict without a cause", { conflict(1, 2, 0, 0, "") }, false },
            { "stale read", { write(1, 2, 0, "a"), read(3, 4, 0, "") }, false },
            { "concurrent read of the old row", { write(1, 4, 0, "a"), read(2, 3, 0, "") }, true },
            { "reads go back",
              { write(1, 9, 0, "a"), read(2, 3, 1, "a"), read(4, 5, 0, "") },
              false },
            { "lost write seen", { lost(1, 0, "a"), read(2, 3, 1, "a") }, true },
            { "lost write seen late",
              { lost(1, 0, "a"), read(2, 3, 0, ""), read(4, 5, 1, "a") },
              true },
            { "lost write never seen", { lost(1, 0, "a"), write(2, 3, 0, "b") }, true },
            { "lost write before it was sent", { read(1, 2, 1, "a"), lost(3, 0, "a") }, false },
            { "lost write and another winner",
              { lost(1, 0, "a"), write(2, 3, 0, "b"), read(4, 5, 1, "a") },
              false },
            { "write of nobody", { read(1, 2, 1, "x") }, false },
            { "write reported with another version",
              { { 1, 2, "k", "write", 0, "a", "ok", 2, "a" } },
              false },
        };
        for (const Row &row : rows)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.accepted, isAccepted(row.operations));
    }

    // Tests that random histories of a correct row are accepted. Guards against false positives of
    // the search with concurrent operations and lost writes.
    void acceptsCorrectRuns()
    {
        const bool holds = rc::check("a correct run is accepted",
                                     [] { RC_ASSERT(isAccepted(recordCorrectRun())); });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that a history with a read of a write that nobody made is rejected. Guards against a
    // search that accepts incorrect responses in long histories.
    void rejectsAlteredRuns()
    {
        const bool holds = rc::check("a read of a write that nobody made is rejected", [] {
            std::vector<RowOperation> operations = recordCorrectRun();
            const auto at = *rc::gen::inRange<std::size_t>(0, operations.size());
            const double time = operations[at].invoked;
            operations.push_back(read(time, time + 1, 3, "nobody"));
            RC_ASSERT(!isAccepted(operations));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that writes of the same version to two rows are accepted. Guards against a checker that
    // takes operations on different rows as operations on one.
    void checksRowsIndependently()
    {
        RowOperation other = write(1, 2, 0, "b");
        other.key = "other";
        CPPUNIT_ASSERT(isAccepted({ write(1, 2, 0, "a"), other }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowCheckerTest);

} // namespace chervilfield::chaos
