#include "fleet/replica.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace chervilfield::fleet {

namespace {

StoreRow row(std::string key, std::uint64_t version, bool isDeleted = false)
{
    return { .table = "t",
             .key = std::move(key),
             .value = "v" + std::to_string(version),
             .version = version,
             .isDeleted = isDeleted };
}

} // namespace

class ReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaTest);
    CPPUNIT_TEST(anyOrderEndsWithTheLatestRows);
    CPPUNIT_TEST(completeCopyRemovesMissingRows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that changes in any order leave the latest version of each row. Guards against a peer
    // or a delayed answer that restores an older row.
    void anyOrderEndsWithTheLatestRows()
    {
        const bool holds = rc::check("rows never revert to an older version", [] {
            TableReplica replica;
            std::map<std::string, StoreRow> latest;
            const auto steps = *rc::gen::inRange(1, 40);
            for (int i = 0; i < steps; ++i) {
                const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                const auto version = *rc::gen::inRange<std::uint64_t>(1, 50);
                // A version identifies one change, so equal versions have equal content.
                const StoreRow change = row(key, version, version % 3 == 0);
                replica.apply({ .rows = { change }, .version = version });
                if (version > latest[key].version)
                    latest[key] = change;
            }
            for (const auto &[key, change] : latest) {
                const auto found = replica.rows().find(key);
                RC_ASSERT((found != replica.rows().end()) == !change.isDeleted);
                if (!change.isDeleted)
                    RC_ASSERT(found->second.version == change.version);
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that a complete copy removes rows that it lacks and keeps later ones, and that older
    // changes and copies have no effect afterwards. Guards against rows that are never deleted
    // because the history that contains their deletion is no longer available.
    void completeCopyRemovesMissingRows()
    {
        TableReplica replica;
        replica.apply(
                { .rows = { row("gone", 2), row("kept", 3), row("later", 9) }, .version = 3 });
        CPPUNIT_ASSERT(replica.replace({ .rows = { row("kept", 3) }, .version = 5 }));
        CPPUNIT_ASSERT(!replica.rows().contains("gone"));
        CPPUNIT_ASSERT(replica.rows().contains("kept"));
        CPPUNIT_ASSERT(replica.rows().contains("later"));
        CPPUNIT_ASSERT(!replica.apply({ .rows = { row("gone", 2) }, .version = 2 }));
        CPPUNIT_ASSERT(!replica.replace({ .rows = {}, .version = 4 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

} // namespace chervilfield::fleet
