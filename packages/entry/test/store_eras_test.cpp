#include "entry/view_updater.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kReregistrationTime{ 250 };

// Reads each row of `targets` as a ready target of a pool. In `deployment`, the row `version` holds
// the version of the configuration and the row `weights` the desired version of model "m". Takes
// the previous configuration if the version of its row is the same, as the platform's schema does.
fleet::Deployment readTables(const fleet::TableReplicas &tables,
                             const std::shared_ptr<const fleet::Configuration> &previous)
{
    fleet::Deployment deployment;
    for (const auto &[key, row] : tables.at("deployment").rows()) {
        if (key == "weights") {
            deployment.desiredWeights["m"] = std::stoull(row.value);
            continue;
        }
        if (previous != nullptr && previous->storeVersion == row.version) {
            deployment.configuration = previous;
            continue;
        }
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = std::stoull(row.value);
        configuration->storeVersion = row.version;
        deployment.configuration = configuration;
    }
    for (const auto &[key, row] : tables.at("targets").rows())
        deployment.targets.push_back({ .id = key, .pool = row.value });
    return deployment;
}

struct Instance
{
    Instance()
        : updater(context, store, schema, log,
                  { .published = [this](const fleet::ViewPtr &view) { check(*view); },
                    .pollFollower = {} },
                  { .longPollTimeout = milliseconds(20),
                    .pollInterval = milliseconds(1),
                    .maxCurrentAge = milliseconds(200),
                    .minBackoff = milliseconds(5),
                    .maxBackoff = milliseconds(5),
                    .maxFreshAge = milliseconds(200),
                    .reregistrationTime = kReregistrationTime,
                    .outageThreshold = milliseconds(1000) })
    {
    }

    void check(const fleet::View &view)
    {
        const std::uint64_t configuration = view.isComplete() ? view.configuration().version : 0;
        hasReverted = hasReverted || configuration < highestConfiguration
                      || view.desiredWeights("m") < highestWeights;
        highestConfiguration = std::max(highestConfiguration, configuration);
        highestWeights = std::max(highestWeights, view.desiredWeights("m"));
    }
    std::string poolOf(const std::string &id) const
    {
        const auto view = updater.view();
        const auto found = std::ranges::find(view->targets(), id, &fleet::Target::id);
        return found == view->targets().end() ? std::string() : found->pool;
    }
    std::uint64_t configuration() const
    {
        const auto view = updater.view();
        return view->isComplete() ? view->configuration().version : 0;
    }
    bool isInEra(std::uint64_t era) const
    {
        return updater.storeVersion("deployment").era == era
               && updater.storeVersion("targets").era == era;
    }

    boost::asio::io_context context;
    FakeStore store;
    fleet::DeploymentSchema schema{ .tables = { "deployment", "targets" },
                                    .targetTable = "targets",
                                    .readDeployment = readTables };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    std::uint64_t highestConfiguration = 0;
    std::uint64_t highestWeights = 0;
    bool hasReverted = false;
    ViewUpdater updater;
};

// Brings the instance to a state that the store loses when it is restored to the returned copy.
FakeStore loseState(Instance &instance)
{
    FakeStore &store = instance.store;
    store.put("deployment", "version", "4");
    store.put("deployment", "weights", "2");
    store.put("targets", "kept", "p");
    store.put("targets", "left", "p");
    store.put("targets", "moved", "old");
    instance.updater.start();
    CPPUNIT_ASSERT(runUntil(instance.context, [&] { return instance.poolOf("moved") == "old"; }));
    FakeStore copy = store;
    store.put("deployment", "version", "5");
    store.put("deployment", "weights", "3");
    store.put("targets", "moved", "new");
    store.put("targets", "lost", "p");
    store.put("targets", "back", "p");
    store.erase("targets", "left");
    CPPUNIT_ASSERT(runUntil(instance.context, [&] {
        return instance.poolOf("back") == "p" && instance.poolOf("left").empty()
               && instance.configuration() == 5;
    }));
    return copy;
}

enum class Step { BetweenPolls, BeforeAnswer, AfterAnswer, BeforeFullRead, AfterFullRead };
// Restorations of the store during a poll.
struct Restoration
{
    std::string name;
    Step step;
    int rowsAfter;    ///< Rows written after the store was restored.
    bool isOutage;    ///< Whether the store is unreachable until it was restored.
    int restorations; ///< How often the store is restored to the copy.
};

std::vector<Restoration> makeRestorations()
{
    std::vector<Restoration> rows;
    for (const auto &[step, name] : { std::pair(Step::BetweenPolls, "between polls"),
                                      std::pair(Step::BeforeAnswer, "before an answer"),
                                      std::pair(Step::AfterAnswer, "after an answer"),
                                      std::pair(Step::BeforeFullRead, "before a full read"),
                                      std::pair(Step::AfterFullRead, "after a full read") }) {
        // Up to 30 rows, the versions are below, at or above those of the lost state.
        for (const int rowsAfter : { 0, 3, 6, 30 })
            rows.push_back({ name, step, rowsAfter, false, 1 });
        rows.push_back({ name + std::string(", outage"), step, 6, true, 1 });
        rows.push_back({ name + std::string(", twice"), step, 6, false, 2 });
    }
    return rows;
}

// Restores the store to the copy, and returns when the instance has read it.
void restoreDuringPoll(Instance &f, const FakeStore &copy, const Restoration &row)
{
    f.store.isUnreachable = row.isOutage;
    if (row.isOutage)
        f.context.run_for(milliseconds(10));
    int left = row.restorations;
    const std::function<void()> restore = [&] {
        f.store.restore(copy);
        for (int i = 0; i < row.rowsAfter; ++i)
            f.store.put("other", std::to_string(i), "x");
        --left;
        if (left > 0)
            f.store.beforeRead = restore;
    };
    switch (row.step) {
    case Step::BetweenPolls:
        restore();
        break;
    case Step::BeforeFullRead:
        restore();
        if (left == 0)
            f.store.beforeRead = [&] { f.store.put("other", "late", "x"); };
        break;
    case Step::AfterFullRead:
        f.store.hasLostHistory = true;
        f.store.onRead = restore;
        break;
    case Step::BeforeAnswer:
        f.store.hasLostHistory = true;
        f.store.beforeRead = restore;
        break;
    case Step::AfterAnswer:
        f.store.onRead = restore;
        f.store.responseDelay = milliseconds(10);
        break;
    }
    f.store.isUnreachable = false;
    CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] {
                               return left <= 0 && f.isInEra(f.store.currentEra());
                           }));
    f.store.responseDelay = milliseconds(0);
}

} // namespace

class StoreErasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreErasTest);
    CPPUNIT_TEST(restoredStoreIsReadInFull);
    CPPUNIT_TEST(configurationsAreOrderedByTheirVersion);
    CPPUNIT_TEST(lostWeightsCountAsOld);
    CPPUNIT_TEST(peersOfOtherErasAreNotMerged);
    CPPUNIT_TEST(peersAnswerOtherErasInFull);
    CPPUNIT_TEST(impossibleEraCausesOneRead);
    CPPUNIT_TEST(lateAnswerConfirmsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a store that is restored at any step of a poll: an instance must neither miss
    // rows of the new era, nor take lost state for removed or restored rows for new ones.
    void restoredStoreIsReadInFull()
    {
        for (const Restoration &row : makeRestorations()) {
            const std::string name = row.name + ", " + std::to_string(row.rowsAfter) + " rows";
            Instance f;
            const FakeStore copy = loseState(f);
            restoreDuringPoll(f, copy, row);
            const auto foundAt = ViewUpdater::Clock::now();
            f.store.put("targets", "back", "p");
            f.store.put("targets", "new", "p");
            CPPUNIT_ASSERT_MESSAGE(name,
                                   runUntil(f.context, [&] { return f.poolOf("new") == "p"; }));
            if (ViewUpdater::Clock::now() - foundAt < kReregistrationTime / 2) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("p"), f.poolOf("lost"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("p"), f.poolOf("back"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("new"), f.poolOf("moved"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), f.poolOf("left"));
            }
            CPPUNIT_ASSERT_MESSAGE(name, runUntil(f.context, [&] {
                                       return f.poolOf("lost").empty()
                                              && f.poolOf("moved") == "old";
                                   }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("p"), f.poolOf("back"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("p"), f.poolOf("kept"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t(5), f.configuration());
            f.store.put("deployment", "version", "6");
            CPPUNIT_ASSERT_MESSAGE(name,
                                   runUntil(f.context, [&] { return f.configuration() == 6; }));
            CPPUNIT_ASSERT_MESSAGE(name, !f.hasReverted);
        }
    }

    // Tests which configuration is in force, by the rows of the new era. Guards against one that
    // reverts, and against one that is mistaken for another because their rows have the same
    // version.
    void configurationsAreOrderedByTheirVersion()
    {
        struct Row
        {
            std::string name;
            std::vector<std::string> written; ///< In the new era; empty for a deletion.
            std::uint64_t inForce;
        };
        const Row rows[] = {
            { "restored", {}, 5 },
            { "lower", { "3" }, 5 },
            { "equal", { "5" }, 5 },
            { "higher", { "7" }, 7 },
            { "removed", { "" }, 5 },
            { "higher, removed", { "7", "" }, 7 },
            { "higher, lower", { "7", "6" }, 7 },
            { "removed, higher", { "", "6" }, 6 },
        };
        for (const Row &row : rows) {
            Instance f;
            const FakeStore copy = loseState(f);
            f.store.restore(copy);
            // The first write has the version of the row that was lost.
            for (const std::string &value : row.written) {
                if (value.empty())
                    f.store.erase("deployment", "version");
                else
                    f.store.put("deployment", "version", value);
                CPPUNIT_ASSERT_MESSAGE(
                        row.name, runUntil(f.context, [&] {
                            return f.updater.storeVersion("deployment")
                                   == fleet::StoreVersion{ 1, f.store.currentVersion() };
                        }));
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] { return f.isInEra(1); }));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.inForce, f.configuration());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t(3),
                                         f.updater.view()->desiredWeights("m"));
            CPPUNIT_ASSERT_MESSAGE(row.name, !f.hasReverted);
        }
    }

    // Guards against requests on replaced weights: the store lost their version, and an instance
    // that learns of it when the operator writes it again takes it to have just been set.
    void lostWeightsCountAsOld()
    {
        Instance f;
        const FakeStore copy = loseState(f);
        const auto setAt = ViewUpdater::Clock::now();
        f.store.put("deployment", "weights", "4");
        f.store.restore(copy);
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isInEra(1); }));
        f.context.run_for(milliseconds(50));
        f.store.put("deployment", "weights", "4");
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.updater.view()->desiredWeights("m") == 4; }));
        const auto replacedAt = f.updater.view()->replacedAt("m", 3);
        CPPUNIT_ASSERT(replacedAt.has_value());
        CPPUNIT_ASSERT(*replacedAt <= setAt);
    }

    // Tests rows of a peer by its era. Guards against copies that mix rows of two eras, and against
    // an instance that keeps an old era because it alone cannot reach the store.
    void peersOfOtherErasAreNotMerged()
    {
        struct Row
        {
            std::string name;
            std::uint64_t eraOfPeer;
            std::uint64_t ownEra;
            bool isStoreReachable;
            bool asksForEra; ///< Whether the instance states its era in the query.
            bool isMerged;
        };
        const Row rows[] = {
            { "same era", 1, 1, true, true, true },
            { "peer behind", 0, 1, true, true, false },
            { "peer behind, no store", 0, 1, false, true, false },
            { "peer ahead", 2, 1, true, true, false },
            { "peer ahead, no store", 2, 1, false, true, true },
            { "peer ahead, some rows, no store", 2, 1, false, false, false },
        };
        for (const Row &row : rows) {
            Instance peer;
            peer.store.startEra = row.eraOfPeer;
            Instance f;
            f.store.startEra = row.ownEra;
            for (Instance *each : { &peer, &f }) {
                each->store.put("deployment", "version", "4");
                each->store.put("targets", "kept", "p");
                each->store.put("targets", each == &f ? "own" : "peer's", "p");
                each->updater.start();
                CPPUNIT_ASSERT(runUntil(each->context, [&] {
                    return each->poolOf("kept") == "p" && each->isInEra(each->store.currentEra());
                }));
            }
            peer.store.put("targets", "new", "p");
            CPPUNIT_ASSERT(runUntil(peer.context, [&] { return peer.poolOf("new") == "p"; }));
            if (!row.isStoreReachable) {
                f.store.isUnreachable = true;
                CPPUNIT_ASSERT(runUntil(f.context, [&] {
                    return f.updater.isPollFailing("targets")
                           && f.updater.isPollFailing("deployment");
                }));
            }
            const auto known = f.updater.storeVersion("targets");
            const peers::EntriesQuery query{ .after = known.version,
                                             .table = "targets",
                                             .storeEra =
                                                     row.asksForEra ? known.era : row.eraOfPeer };
            const auto entries = peer.updater.entries(query);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.eraOfPeer, entries.storeEra);
            const int reads = f.store.fullReads;
            const bool isMerged = f.updater.merge(entries, ViewUpdater::Clock::now(), "targets");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isMerged, isMerged);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isMerged, f.poolOf("new") == "p");
            // A target of the previous era is kept at first.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("p"), f.poolOf("own"));
            if (row.eraOfPeer > row.ownEra && row.isStoreReachable)
                CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] {
                                           return f.store.fullReads == reads + 2;
                                       }));
            if (isMerged && row.eraOfPeer > row.ownEra)
                CPPUNIT_ASSERT_MESSAGE(
                        row.name, runUntil(f.context, [&] {
                            peer.context.run_for(milliseconds(1));
                            f.updater.merge(peer.updater.entries({ .after = known.version,
                                                                   .table = "targets",
                                                                   .storeEra = row.eraOfPeer }),
                                            ViewUpdater::Clock::now(), "targets");
                            return f.poolOf("own").empty() && f.poolOf("peer's") == "p";
                        }));
        }
    }

    // Tests what a peer sends by the era in the query, with compression. Guards against cached
    // entries of an earlier era with the same version, and against a partial copy of a new one.
    void peersAnswerOtherErasInFull()
    {
        Instance peer;
        const std::string large(5'000, 'x');
        const FakeStore empty = peer.store;
        const auto fill = [&](const std::string &pool) {
            peer.store.put("targets", "first", pool);
            peer.store.put("targets", "second", pool + large);
            CPPUNIT_ASSERT(runUntil(peer.context, [&] {
                return peer.poolOf("second").size() > large.size()
                       && peer.poolOf("second").starts_with(pool)
                       && peer.updater.version("targets") == 2;
            }));
        };
        peer.updater.start();
        fill("old");
        const peers::EntriesQuery query{ .table = "targets", .acceptsCompressed = true };
        const auto before = peer.updater.entries(query);
        peer.store.restore(empty);
        fill("new");
        const auto after = peer.updater.entries(query);
        CPPUNIT_ASSERT_EQUAL(before.entries.size(), after.entries.size());
        CPPUNIT_ASSERT(before.entries.back().value != after.entries.back().value);
        struct Row
        {
            std::uint64_t era;
            std::uint64_t after;
            std::size_t entries;
            bool isUpToDate;
        };
        for (const Row &row : { Row{ 0, 0, 2, true }, Row{ 0, 1, 2, true }, Row{ 0, 99, 2, true },
                                Row{ 1, 0, 2, true }, Row{ 1, 1, 1, true }, Row{ 1, 2, 0, true },
                                Row{ 2, 0, 0, false }, Row{ ~std::uint64_t(0), 1, 0, false } }) {
            const auto answer = peer.updater.entries(
                    { .after = row.after, .table = "targets", .storeEra = row.era });
            CPPUNIT_ASSERT_EQUAL(row.entries, answer.entries.size());
            CPPUNIT_ASSERT_EQUAL(row.isUpToDate, answer.revisionInForce > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), answer.storeEra);
        }
    }

    // Guards against an instance that reads the store without end, or drops its answers, because a
    // peer states an era that the store never had.
    void impossibleEraCausesOneRead()
    {
        Instance f;
        loseState(f);
        const int reads = f.store.fullReads;
        for (int i = 0; i < 20; ++i) {
            f.updater.requestEra(peers::kMaxStoreEra);
            f.context.run_for(milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(reads + 2, f.store.fullReads);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.updater.storeEra());
        f.store.put("deployment", "version", "8");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 8; }));
    }

    // Guards against an answer of an earlier era that counts as a confirmation of the rows that
    // were taken from a peer in the meantime.
    void lateAnswerConfirmsNothing()
    {
        Instance peer;
        peer.store.startEra = 1;
        peer.store.put("deployment", "version", "4");
        peer.store.put("targets", "t1", "p");
        peer.updater.start();
        CPPUNIT_ASSERT(runUntil(peer.context, [&] { return peer.updater.isStoreReachable(); }));
        Instance f;
        f.store.put("targets", "other", "p");
        f.store.beforeRead = [&] {
            CPPUNIT_ASSERT(f.updater.merge(peer.updater.entries({}), ViewUpdater::Clock::now()));
        };
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return f.updater.isPollFailing("targets") && f.updater.isPollFailing("deployment");
        }));
        CPPUNIT_ASSERT(!f.updater.isStoreReachable());
        CPPUNIT_ASSERT(f.isInEra(1) && f.poolOf("t1") == "p" && f.poolOf("other").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreErasTest);

} // namespace chervilfield::entry
