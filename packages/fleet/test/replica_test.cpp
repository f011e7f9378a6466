#include "fleet/replica.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

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

// Table of the store with its history.
class StoreModel
{
public:
    // Creates the row, or changes or deletes it.
    void change(const std::string &key)
    {
        const std::uint64_t version = history_.size();
        const bool isDeleted = history_.back().contains(key) && version % 3 != 0;
        auto rows = history_.back();
        rows.erase(key);
        if (!isDeleted)
            rows[key] = row(key, version);
        history_.push_back(std::move(rows));
        changes_[key] = row(key, version, isDeleted);
    }

    StoreRows readAll() const
    {
        StoreRows all{ .rows = {}, .version = history_.size() - 1 };
        for (const auto &[key, present] : history_.back())
            all.rows.push_back(present);
        return all;
    }

    StoreRows changesAfter(std::uint64_t version) const
    {
        StoreRows result{ .rows = {}, .version = history_.size() - 1 };
        for (const auto &[key, change] : changes_) {
            if (change.version > version)
                result.rows.push_back(change);
        }
        return result;
    }

    // Returns true if the rows and deletions up to the version of the replica are those of the
    // store at that version.
    bool matches(const TableReplica &replica) const
    {
        const auto &rows = history_.at(replica.version());
        std::set<std::string> laterKeys;
        for (const StoreRow &change : replica.changesAfter(replica.version()).rows)
            laterKeys.insert(change.key);
        for (const auto &[key, present] : replica.rows()) {
            const bool isKnown = rows.contains(key) && rows.at(key).version == present.version;
            if (present.version <= replica.version() && !isKnown)
                return false;
        }
        return std::ranges::all_of(rows, [&](const auto &each) {
            return replica.rows().contains(each.first) || laterKeys.contains(each.first);
        });
    }

private:
    /// Rows at each version.
    std::vector<std::map<std::string, StoreRow>> history_{ {} };
    std::map<std::string, StoreRow> changes_; ///< Last change of each row.
};

} // namespace

class ReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaTest);
    CPPUNIT_TEST(anyOrderEndsWithTheLatestRows);
    CPPUNIT_TEST(completeCopyRemovesMissingRows);
    CPPUNIT_TEST(olderRowsAreNotRestored);
    CPPUNIT_TEST(copiesMatchTheStore);
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
                // Rows in any order come only from peers that do not claim to be complete.
                replica.apply({ .rows = { change }, .version = 0 });
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

    // Tests that rows up to the version of the replica are ignored. Guards against a row that was
    // deleted before the first copy and returns from a peer that is out of date.
    void olderRowsAreNotRestored()
    {
        TableReplica replica;
        replica.replace({ .rows = { row("kept", 3) }, .version = 5 });
        for (const std::uint64_t claimed : { 0, 4 }) {
            CPPUNIT_ASSERT(!replica.apply({ .rows = { row("gone", 2) }, .version = claimed }));
            CPPUNIT_ASSERT(!replica.rows().contains("gone"));
        }
        CPPUNIT_ASSERT(replica.apply({ .rows = { row("new", 6) }, .version = 0 }));
    }

    // Tests that replicas which copy from the store and from each other have the rows of the store
    // at their version, whatever restarts, loses its history or arrives late. Guards against a
    // deleted row that stays in a copy, because the replica that it comes from did not see the
    // deletion.
    void copiesMatchTheStore()
    {
        const bool holds = rc::check("replicas match the store at their version", [] {
            StoreModel store;
            std::vector<TableReplica> replicas(3);
            std::vector<std::pair<std::size_t, StoreRows>> delayed;
            // All ranges are drawn in full, whatever the size of the case.
            const auto draw = [](std::size_t count) {
                return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, count));
            };
            constexpr int kSteps = 80;
            for (int i = 0; i < kSteps; ++i) {
                const auto to = draw(replicas.size());
                const auto from = draw(replicas.size());
                TableReplica &replica = replicas[to];
                StoreRows copy = replicas[from].changesAfter(replica.version());
                switch (draw(10)) {
                case 0: // A restart.
                    replica = {};
                    std::erase_if(delayed, [&](const auto &each) { return each.first == to; });
                    break;
                case 1: // The first read, or one after the history was lost.
                    replica.replace(store.readAll());
                    break;
                case 2:
                    if (replica.version() > 0)
                        replica.apply(store.changesAfter(replica.version()));
                    break;
                case 3: // A peer that is out of date claims no version.
                    copy.version = 0;
                    copy.presentKeys.reset();
                    replica.apply(copy);
                    break;
                case 4:
                    delayed.emplace_back(to, copy);
                    break;
                case 5:
                    if (!delayed.empty()) {
                        replicas[delayed.front().first].apply(delayed.front().second);
                        delayed.erase(delayed.begin());
                    }
                    break;
                case 6:
                case 7:
                    replica.apply(copy);
                    break;
                default:
                    store.change(std::string(1, static_cast<char>('a' + draw(4))));
                    break;
                }
                for (const TableReplica &each : replicas)
                    RC_ASSERT(store.matches(each));
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

} // namespace chervilfield::fleet
