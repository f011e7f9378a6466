#include "entry/view_keeper.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// Each row of `targets` is a ready target; a row `version` of `deployment` is the configuration.
fleet::Deployment readTables(const fleet::TableReplicas &tables)
{
    fleet::Deployment deployment;
    for (const auto &[key, row] : tables.at("deployment").rows()) {
        if (key == "weights") {
            deployment.desiredWeights["m"] = std::stoull(row.value);
            continue;
        }
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = std::stoull(row.value);
        deployment.configuration = configuration;
    }
    for (const auto &[key, row] : tables.at("targets").rows())
        deployment.targets.push_back({ .id = key, .pool = row.value });
    return deployment;
}

struct Fixture
{
    explicit Fixture(ViewUpdaterOptions options = { .longPollTimeout = milliseconds(20),
                                                    .pollInterval = milliseconds(1),
                                                    .maxCurrentAge = milliseconds(200),
                                                    .minBackoff = milliseconds(5),
                                                    .maxBackoff = milliseconds(5),
                                                    .maxFreshAge = milliseconds(200),
                                                    .reregistrationTime = milliseconds(200),
                                                    .outageThreshold = milliseconds(50) })
        : keeper(context, store, schema, log,
                 { .published = [this](const auto &) { ++published; },
                   .pollFollower = [this](const auto &) { return pollFollower(); } },
                 options)
    {
    }

    FollowerResult pollFollower() const
    {
        if (!follower)
            return FollowerResult::NotAsked;
        return follower() ? FollowerResult::UpToDate : FollowerResult::Failed;
    }
    bool hasTarget(const std::string &id) const
    {
        const auto view = keeper.view();
        return std::ranges::find(view->targets(), id, &fleet::Target::id) != view->targets().end();
    }
    std::uint64_t configuration() const
    {
        const auto view = keeper.view();
        return view->isComplete() ? view->configuration().version : 0;
    }

    boost::asio::io_context context;
    int published = 0;
    std::function<bool()> follower; ///< Asks a peer; returns true if the store answers the peer.
    FakeStore store;
    fleet::DeploymentSchema schema{ .tables = { "deployment", "targets" },
                                    .targetTable = "targets",
                                    .readDeployment = readTables };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    ViewUpdater keeper;
};

} // namespace

class ViewKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewKeeperTest);
    CPPUNIT_TEST(viewFollowsTheStore);
    CPPUNIT_TEST(lostHistoryIsReadAgain);
    CPPUNIT_TEST(targetsOutliveAnOutage);
    CPPUNIT_TEST(peersStandInForTheStore);
    CPPUNIT_TEST(peersTellOfTargetsThatLeft);
    CPPUNIT_TEST(targetsThatLeaveAreNotKeptWithoutAnOutage);
    CPPUNIT_TEST(unansweredFollowerIsNotUpToDate);
    CPPUNIT_TEST(silentStoreIsNotAwaitedForLong);
    CPPUNIT_TEST(revisionTellsOfConfigurations);
    CPPUNIT_TEST(weightsAreAsOldAsTheyCanBe);
    CPPUNIT_TEST(emptyStoreIsNotAskedInALoop);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that keeps an older configuration or a target that left.
    void viewFollowsTheStore()
    {
        Fixture f;
        f.keeper.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.keeper.isStoreReachable(); }));
        CPPUNIT_ASSERT(!f.keeper.view()->isComplete());
        f.store.put("deployment", "version", "3");
        f.store.put("targets", "t1", "p");
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.configuration() == 3 && f.hasTarget("t1"); }));
        f.store.erase("targets", "t1");
        f.store.put("deployment", "weights", "2");
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return !f.hasTarget("t1") && f.keeper.view()->desiredWeights("m") == 2;
        }));
        CPPUNIT_ASSERT(f.keeper.isFresh());
    }

    // Guards against changes that are missed because the store dropped its history.
    void lostHistoryIsReadAgain()
    {
        Fixture f;
        f.store.put("targets", "t1", "p");
        f.keeper.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("t1"); }));
        f.store.erase("targets", "t1");
        f.store.put("targets", "t2", "p");
        f.store.hasLostHistory = true;
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.hasTarget("t2") && !f.hasTarget("t1"); }));
    }

    // Guards against losing all targets because their registrations ran out while the store was
    // away, and against keeping those that do not return.
    void targetsOutliveAnOutage()
    {
        Fixture f;
        f.store.put("targets", "back", "p");
        f.store.put("targets", "gone", "p");
        f.keeper.start();
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.hasTarget("back") && f.hasTarget("gone"); }));
        f.store.isAway = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.keeper.isStoreReachable(); }));
        CPPUNIT_ASSERT(f.hasTarget("back"));
        f.store.erase("targets", "back");
        f.store.erase("targets", "gone");
        f.store.put("targets", "new", "p");
        f.store.isAway = false;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("new"); }));
        CPPUNIT_ASSERT(f.hasTarget("back") && f.hasTarget("gone"));
        f.store.put("targets", "back", "p");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.hasTarget("gone"); }));
        CPPUNIT_ASSERT(f.hasTarget("back"));
    }

    // Guards against an instance that serves an old configuration because only it cannot reach the
    // store, and against a peer that takes it back.
    void peersStandInForTheStore()
    {
        Fixture peer;
        peer.store.put("deployment", "version", "4");
        peer.store.put("targets", "t1", "p");
        peer.keeper.start();
        CPPUNIT_ASSERT(runUntil(peer.context,
                                [&] { return peer.configuration() == 4 && peer.hasTarget("t1"); }));
        const auto older = peer.keeper.entriesAfter(0);
        Fixture f;
        f.store.isAway = true;
        f.keeper.start();
        CPPUNIT_ASSERT(!f.keeper.isFresh());
        f.keeper.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), f.configuration());
        CPPUNIT_ASSERT(f.hasTarget("t1") && f.keeper.isFresh());
        peer.store.put("deployment", "version", "5");
        peer.store.erase("targets", "t1");
        CPPUNIT_ASSERT(runUntil(
                peer.context, [&] { return peer.configuration() == 5 && !peer.hasTarget("t1"); }));
        f.keeper.merge(peer.keeper.entriesAfter(f.keeper.version()));
        f.keeper.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), f.configuration());
        CPPUNIT_ASSERT(!f.hasTarget("t1"));
    }

    // Guards against a target that left and is kept for as long as this instance does not reach the
    // store, and against views that are made again and again meanwhile.
    void peersTellOfTargetsThatLeft()
    {
        Fixture peer;
        Fixture f;
        for (Fixture *each : { &peer, &f }) {
            each->store.put("deployment", "version", "1");
            each->store.put("targets", "t1", "p");
            each->keeper.start();
            CPPUNIT_ASSERT(runUntil(each->context, [&] { return each->hasTarget("t1"); }));
        }
        for (const bool isAway : { true, false, true }) {
            f.store.isAway = isAway;
            CPPUNIT_ASSERT(runUntil(f.context, [&] {
                return f.keeper.isFailing("targets") == isAway
                       && f.keeper.isFailing("deployment") == isAway;
            }));
        }
        int asked = 0;
        f.follower = [&] {
            ++asked;
            peer.context.run_for(milliseconds(1));
            return f.keeper.merge(peer.keeper.entriesAfter(f.keeper.version()));
        };
        // From the second answer on, all rows come from the peer alone.
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return asked >= 2; }));
        peer.store.erase("targets", "t1");
        CPPUNIT_ASSERT(runUntil(peer.context, [&] { return !peer.hasTarget("t1"); }));
        const int before = f.published;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.hasTarget("t1"); }));
        // The row is deleted; the store and the peer have each been back for the return time.
        constexpr int kViews = 3;
        CPPUNIT_ASSERT(f.published - before <= kViews);
    }

    // Guards against a target that left and is kept as if the store had been away, when only this
    // instance did not ask it, or for a moment got no answer.
    void targetsThatLeaveAreNotKeptWithoutAnOutage()
    {
        struct Case
        {
            std::string name;
            bool refuses; ///< The store refuses this instance for a moment.
            milliseconds peerOnly;
        };
        constexpr milliseconds kOutage{ 200 };
        constexpr milliseconds kReturnTime{ 2000 };
        for (const Case &each : { Case{ "peers only", false, kOutage * 2 },
                                  Case{ "refused", true, milliseconds(20) } }) {
            Fixture f({ .longPollTimeout = milliseconds(20),
                        .pollInterval = milliseconds(1),
                        .minBackoff = milliseconds(5),
                        .maxBackoff = milliseconds(5),
                        .reregistrationTime = kReturnTime,
                        .outageThreshold = kOutage });
            f.store.put("deployment", "version", "1");
            f.store.put("targets", "t1", "p");
            f.keeper.start();
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   runUntil(f.context, [&] { return f.hasTarget("t1"); }));
            f.store.isAway = each.refuses;
            CPPUNIT_ASSERT_MESSAGE(each.name, runUntil(f.context, [&] {
                                       return f.keeper.isFailing("targets") == each.refuses;
                                   }));
            f.follower = [&] {
                return f.keeper.merge({ .revisionInForce = f.keeper.version(), .entries = {} });
            };
            f.context.run_for(each.peerOnly);
            f.store.isAway = false;
            f.store.erase("targets", "t1");
            f.follower = {};
            const auto left = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   runUntil(f.context, [&] { return !f.hasTarget("t1"); }));
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   std::chrono::steady_clock::now() - left < kReturnTime / 2);
        }
    }

    // Guards against a target that left and keeps its work, because the instance that others ask
    // has itself heard nothing from the store for a while.
    void unansweredFollowerIsNotUpToDate()
    {
        Fixture f({ .longPollTimeout = milliseconds(2000), .maxCurrentAge = milliseconds(100) });
        f.store.put("deployment", "version", "1");
        f.store.put("targets", "t1", "p");
        f.keeper.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.keeper.isCurrent(); }));
        CPPUNIT_ASSERT(f.keeper.entriesAfter(0).revisionInForce > 0);
        f.store.isSilent = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.keeper.isCurrent(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.keeper.entriesAfter(0).revisionInForce);
        CPPUNIT_ASSERT(!f.keeper.isFailing("targets"));
    }

    // Guards against a question that waits for a silent store long after the store is back.
    void silentStoreIsNotAwaitedForLong()
    {
        constexpr milliseconds kLongWait{ 2000 };
        Fixture f({ .longPollTimeout = kLongWait,
                    .pollInterval = milliseconds(1),
                    .minBackoff = milliseconds(5),
                    .maxBackoff = milliseconds(5) });
        f.store.put("deployment", "version", "1");
        f.keeper.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
        // The questions in progress fail; those after them meet a silent store.
        f.store.isAway = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.keeper.isFailing("deployment"); }));
        f.store.isAway = false;
        f.store.isSilent = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return f.store.unanswered >= static_cast<int>(f.schema.tables.size());
        }));
        f.store.isSilent = false;
        f.store.put("deployment", "version", "2");
        const auto returned = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 2; }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - returned < kLongWait / 2);
    }

    // Guards against a new configuration that peers do not tell of, because a table that did not
    // change is older.
    void revisionTellsOfConfigurations()
    {
        // The other table is not asked again while the test runs.
        Fixture f({ .longPollTimeout = milliseconds(5000), .pollInterval = milliseconds(1) });
        f.store.put("targets", "t1", "p");
        f.store.put("deployment", "version", "1");
        f.keeper.start();
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.configuration() == 1 && f.hasTarget("t1"); }));
        const std::uint64_t before = f.keeper.revision();
        f.store.put("deployment", "version", "2");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 2; }));
        const std::uint64_t after = f.keeper.revision();
        CPPUNIT_ASSERT(after > before);
        f.store.put("targets", "t2", "p");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("t2"); }));
        CPPUNIT_ASSERT_EQUAL(after, f.keeper.revision());
    }

    // Guards against engines that take no work because weights that were named just now count as
    // named before this instance started, and the other way round.
    void weightsAreAsOldAsTheyCanBe()
    {
        constexpr milliseconds kAgeAtStart{ 10'000 };
        for (const bool isNamedBefore : { true, false }) {
            Fixture f({ .longPollTimeout = milliseconds(20), .initialWeightsAge = kAgeAtStart });
            if (isNamedBefore)
                f.store.put("deployment", "weights", "2");
            f.store.put("deployment", "version", "1");
            f.keeper.start();
            CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
            f.store.put("deployment", "weights", "2");
            CPPUNIT_ASSERT(
                    runUntil(f.context, [&] { return f.keeper.view()->desiredWeights("m") == 2; }));
            const auto replacedAt = f.keeper.view()->replacedAt("m", 1);
            CPPUNIT_ASSERT(replacedAt.has_value());
            const auto age = std::chrono::steady_clock::now() - *replacedAt;
            CPPUNIT_ASSERT_EQUAL(isNamedBefore, age >= kAgeAtStart);
        }
    }

    // Guards against reading a whole table again and again while it is empty: each call is billed.
    void emptyStoreIsNotAskedInALoop()
    {
        Fixture f;
        f.keeper.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.questions >= 4; }));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(f.schema.tables.size()), f.store.copies);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewKeeperTest);

} // namespace chervilfield::entry
