#include "fleet/replica.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace chervilfield::fleet {

namespace {

using Rows = std::map<std::string, StoreRow>;

// A table of a store that is restored to older copies of itself. A version identifies one state of
// the table within an era.
class StoreModel
{
public:
    void change(const std::string &key)
    {
        Rows rows = history().back();
        const std::uint64_t version = history().size();
        const std::string value = std::to_string(era()) + '/' + std::to_string(version);
        if (version % 3 == 0)
            rows.erase(key);
        else
            rows[key] = { .table = "t", .key = key, .value = value, .version = version };
        history().push_back(std::move(rows));
    }

    void restore(std::size_t lostVersions)
    {
        std::vector<Rows> older = history();
        older.resize(older.size() - std::min(lostVersions, older.size() - 1));
        eras_.push_back(std::move(older));
    }

    std::uint64_t era() const { return eras_.size() - 1; }
    std::uint64_t version() const { return eras_.back().size() - 1; }

    StoreRows readAll() const
    {
        StoreRows all{ .rows = {}, .version = version(), .era = era() };
        for (const auto &[key, row] : eras_.back().back())
            all.rows.push_back(row);
        return all;
    }

    StoreRows changesAfter(std::uint64_t after) const
    {
        StoreRows result{ .rows = {}, .version = version(), .era = era() };
        const std::vector<Rows> &states = eras_.back();
        for (std::size_t i = after + 1; i < states.size(); ++i) {
            for (const auto &[key, row] : states[i]) {
                if (row.version == i)
                    result.rows.push_back(row);
            }
            for (const auto &[key, row] : states[i - 1]) {
                if (!states[i].contains(key))
                    result.rows.push_back({ .key = key, .version = i, .isDeleted = true });
            }
        }
        return result;
    }

    // Returns true if the rows of the replica are those of the store at its era and version.
    bool matches(const TableReplica &replica) const
    {
        const Rows &rows = eras_.at(replica.era()).at(replica.version());
        if (rows.size() != replica.rows().size())
            return false;
        return std::ranges::all_of(rows, [&](const auto &each) {
            const auto found = replica.rows().find(each.first);
            return found != replica.rows().end() && found->second.value == each.second.value
                   && found->second.era == replica.era();
        });
    }

private:
    std::vector<Rows> &history() { return eras_.back(); }

    std::vector<std::vector<Rows>> eras_{ { Rows() } }; ///< States by era and version.
};

} // namespace

class ReplicaEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaEraTest);
    CPPUNIT_TEST(copiesMatchTheirEra);
    CPPUNIT_TEST(changesDoNotMoveToAnotherEra);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests replicas that copy from a store that is restored, and from each other, with answers
    // that arrive late. Guards against rows of two eras in one replica, and against one that goes
    // back to an earlier era.
    void copiesMatchTheirEra()
    {
        const bool holds = rc::check("replicas match the store at their era and version", [] {
            StoreModel store;
            std::vector<TableReplica> replicas(2);
            struct Answer
            {
                std::size_t to;
                StoreRows rows;
                bool isCopy;
                StoreVersion after; ///< That the changes were asked for.
            };
            std::vector<Answer> answers;
            const auto draw = [](std::size_t count) {
                return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, count));
            };
            constexpr int kSteps = 80;
            for (int i = 0; i < kSteps; ++i) {
                const std::size_t to = draw(replicas.size());
                TableReplica &replica = replicas[to];
                const StoreVersion known = replica.storeVersion();
                switch (draw(8)) {
                case 0:
                    store.restore(draw(6));
                    break;
                case 1:
                    answers.push_back({ to, store.readAll(), true, {} });
                    break;
                case 2:
                    if (known.version > 0)
                        answers.push_back({ to, store.changesAfter(known.version), false, known });
                    break;
                case 3: {
                    const TableReplica &peer = replicas[1 - to];
                    // Peers answer in full for an earlier era.
                    const bool isSameEra = peer.era() == known.era;
                    answers.push_back({ to, peer.changesAfter(isSameEra ? known.version : 0),
                                        !isSameEra && peer.version() > 0, known });
                    break;
                }
                case 4:
                case 5:
                    if (!answers.empty()) {
                        const Answer answer = answers[draw(answers.size())];
                        TableReplica &receiver = replicas[answer.to];
                        const StoreVersion before = receiver.storeVersion();
                        // Changes are complete only in the era that they were asked for.
                        if (answer.isCopy)
                            receiver.replace(answer.rows);
                        else if (answer.rows.era == answer.after.era)
                            receiver.apply(answer.rows);
                        RC_ASSERT(receiver.storeVersion() >= before);
                    }
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

    // Tests single changes by their era. Guards against a replica that takes changes of another era
    // for its own, or a part of a table for the whole.
    void changesDoNotMoveToAnotherEra()
    {
        struct Row
        {
            std::uint64_t era;
            std::uint64_t version;
            bool isApplied;
            bool isReplaced;
        };
        // The replica is in era 2 at version 5.
        for (const Row &row :
             { Row{ 2, 6, true, true }, Row{ 2, 4, false, false }, Row{ 1, 9, false, false },
               Row{ 0, 99, false, false }, Row{ 3, 9, false, true }, Row{ 3, 1, false, true } }) {
            const std::string name = std::to_string(row.era) + '/' + std::to_string(row.version);
            const StoreRows changes{
                .rows = { { .key = "new", .value = "x", .version = row.version } },
                .version = row.version,
                .era = row.era
            };
            TableReplica replica;
            replica.replace({ .rows = { { .key = "old", .version = 3 } }, .version = 5, .era = 2 });
            TableReplica copied = replica;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isApplied, replica.apply(changes));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isApplied, replica.rows().contains("new"));
            CPPUNIT_ASSERT_MESSAGE(name, replica.rows().contains("old"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isReplaced, copied.replace(changes));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isReplaced, copied.rows().contains("new"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isReplaced, !copied.rows().contains("old"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.isReplaced ? row.era : 2, copied.era());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaEraTest);

} // namespace chervilfield::fleet
