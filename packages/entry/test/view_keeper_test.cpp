#include "entry/view_keeper.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// Each row of `targets` is a ready target; a row `version` of `deployment` is the configuration.
fleet::Deployment readTables(const fleet::Tables &tables)
{
    fleet::Deployment deployment;
    for (const auto &[key, row] : tables.at("deployment").rows()) {
        if (key == "weights") {
            deployment.weights["m"] = std::stoull(row.value);
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
        : updater(context, store, documents, log,
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
        const auto view = updater.view();
        return std::ranges::find(view->targets(), id, &fleet::Target::id) != view->targets().end();
    }
    std::uint64_t configuration() const
    {
        const auto view = updater.view();
        return view->isComplete() ? view->configuration().version : 0;
    }

    boost::asio::io_context context;
    int published = 0;
    std::function<bool()> follower; ///< Asks a peer; returns true if the store answers the peer.
    FakeStore store;
    fleet::Documents documents{ .tables = { "deployment", "targets" },
                                .targetTable = "targets",
                                .read = readTables };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    ViewUpdater updater;
};

} // namespace

class ViewUpdaterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewUpdaterTest);
    CPPUNIT_TEST(viewFollowsTheStore);
    CPPUNIT_TEST(lostHistoryCausesFullRead);
    CPPUNIT_TEST(targetsAreRetainedDuringOutage);
    CPPUNIT_TEST(peersReplaceUnreachableStore);
    CPPUNIT_TEST(peersReportRemovedTargets);
    CPPUNIT_TEST(removedTargetsAreNotRetainedWithoutOutage);
    CPPUNIT_TEST(followerWithoutStoreAnswersIsNotUpToDate);
    CPPUNIT_TEST(unresponsiveStoreIsNotLongPolled);
    CPPUNIT_TEST(revisionFollowsConfigurationChanges);
    CPPUNIT_TEST(initialWeightsCountAsOld);
    CPPUNIT_TEST(emptyStoreIsNotReadRepeatedly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that keeps an older configuration or a target that left.
    void viewFollowsTheStore()
    {
        Fixture f;
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.updater.isStoreReachable(); }));
        CPPUNIT_ASSERT(!f.updater.view()->isComplete());
        f.store.put("deployment", "version", "3");
        f.store.put("targets", "t1", "p");
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.configuration() == 3 && f.hasTarget("t1"); }));
        f.store.erase("targets", "t1");
        f.store.put("deployment", "weights", "2");
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return !f.hasTarget("t1") && f.updater.view()->wantedWeights("m") == 2;
        }));
        CPPUNIT_ASSERT(f.updater.isFresh());
    }

    // Guards against changes that are missed because the store dropped its history.
    void lostHistoryCausesFullRead()
    {
        Fixture f;
        f.store.put("targets", "t1", "p");
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("t1"); }));
        f.store.erase("targets", "t1");
        f.store.put("targets", "t2", "p");
        f.store.hasLostHistory = true;
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.hasTarget("t2") && !f.hasTarget("t1"); }));
    }

    // Guards against losing all targets because their registrations ran out while the store was
    // away, and against keeping those that do not return.
    void targetsAreRetainedDuringOutage()
    {
        Fixture f;
        f.store.put("targets", "back", "p");
        f.store.put("targets", "gone", "p");
        f.updater.start();
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.hasTarget("back") && f.hasTarget("gone"); }));
        f.store.isUnreachable = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.updater.isStoreReachable(); }));
        CPPUNIT_ASSERT(f.hasTarget("back"));
        f.store.erase("targets", "back");
        f.store.erase("targets", "gone");
        f.store.put("targets", "new", "p");
        f.store.isUnreachable = false;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("new"); }));
        CPPUNIT_ASSERT(f.hasTarget("back") && f.hasTarget("gone"));
        f.store.put("targets", "back", "p");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.hasTarget("gone"); }));
        CPPUNIT_ASSERT(f.hasTarget("back"));
    }

    // Guards against an instance that serves an old configuration because only it cannot reach the
    // store, and against a peer that takes it back.
    void peersReplaceUnreachableStore()
    {
        Fixture peer;
        peer.store.put("deployment", "version", "4");
        peer.store.put("targets", "t1", "p");
        peer.updater.start();
        CPPUNIT_ASSERT(runUntil(peer.context,
                                [&] { return peer.configuration() == 4 && peer.hasTarget("t1"); }));
        const auto older = peer.updater.entriesAfter(0);
        Fixture f;
        f.store.isUnreachable = true;
        f.updater.start();
        CPPUNIT_ASSERT(!f.updater.isFresh());
        f.updater.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), f.configuration());
        CPPUNIT_ASSERT(f.hasTarget("t1") && f.updater.isFresh());
        peer.store.put("deployment", "version", "5");
        peer.store.erase("targets", "t1");
        CPPUNIT_ASSERT(runUntil(
                peer.context, [&] { return peer.configuration() == 5 && !peer.hasTarget("t1"); }));
        f.updater.merge(peer.updater.entriesAfter(f.updater.version()));
        f.updater.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), f.configuration());
        CPPUNIT_ASSERT(!f.hasTarget("t1"));
    }

    // Guards against a target that left and is kept for as long as this instance does not reach the
    // store, and against views that are made again and again meanwhile.
    void peersReportRemovedTargets()
    {
        Fixture peer;
        Fixture f;
        for (Fixture *each : { &peer, &f }) {
            each->store.put("deployment", "version", "1");
            each->store.put("targets", "t1", "p");
            each->updater.start();
            CPPUNIT_ASSERT(runUntil(each->context, [&] { return each->hasTarget("t1"); }));
        }
        for (const bool isUnreachable : { true, false, true }) {
            f.store.isUnreachable = isUnreachable;
            CPPUNIT_ASSERT(runUntil(f.context, [&] {
                return f.updater.isPollFailing("targets") == isUnreachable
                       && f.updater.isPollFailing("deployment") == isUnreachable;
            }));
        }
        int polls = 0;
        f.follower = [&] {
            ++polls;
            peer.context.run_for(milliseconds(1));
            return f.updater.merge(peer.updater.entriesAfter(f.updater.version()));
        };
        // From the second answer on, all rows come from the peer alone.
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return polls >= 2; }));
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
    void removedTargetsAreNotRetainedWithoutOutage()
    {
        struct Case
        {
            std::string name;
            bool storeRefuses; ///< The store refuses this instance for a moment.
            milliseconds withoutStore;
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
            f.updater.start();
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   runUntil(f.context, [&] { return f.hasTarget("t1"); }));
            f.store.isUnreachable = each.storeRefuses;
            CPPUNIT_ASSERT_MESSAGE(each.name, runUntil(f.context, [&] {
                                       return f.updater.isPollFailing("targets")
                                              == each.storeRefuses;
                                   }));
            f.follower = [&] {
                return f.updater.merge({ .revisionInForce = f.updater.version(), .entries = {} });
            };
            f.context.run_for(each.withoutStore);
            f.store.isUnreachable = false;
            f.store.erase("targets", "t1");
            f.follower = {};
            const auto removedAt = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   runUntil(f.context, [&] { return !f.hasTarget("t1"); }));
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   std::chrono::steady_clock::now() - removedAt < kReturnTime / 2);
        }
    }

    // Guards against a target that left and keeps its work, because the instance that others ask
    // has itself heard nothing from the store for a while.
    void followerWithoutStoreAnswersIsNotUpToDate()
    {
        Fixture f({ .longPollTimeout = milliseconds(2000), .maxCurrentAge = milliseconds(100) });
        f.store.put("deployment", "version", "1");
        f.store.put("targets", "t1", "p");
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.updater.isCurrent(); }));
        CPPUNIT_ASSERT(f.updater.entriesAfter(0).revisionInForce > 0);
        f.store.isUnresponsive = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.updater.isCurrent(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.updater.entriesAfter(0).revisionInForce);
        CPPUNIT_ASSERT(!f.updater.isPollFailing("targets"));
    }

    // Guards against a question that waits for a silent store long after the store is back.
    void unresponsiveStoreIsNotLongPolled()
    {
        constexpr milliseconds kLongPollTimeout{ 2000 };
        Fixture f({ .longPollTimeout = kLongPollTimeout,
                    .pollInterval = milliseconds(1),
                    .minBackoff = milliseconds(5),
                    .maxBackoff = milliseconds(5) });
        f.store.put("deployment", "version", "1");
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
        // The questions in progress fail; those after them meet a silent store.
        f.store.isUnreachable = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.updater.isPollFailing("deployment"); }));
        f.store.isUnreachable = false;
        f.store.isUnresponsive = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return f.store.unansweredPolls >= static_cast<int>(f.documents.tables.size());
        }));
        f.store.isUnresponsive = false;
        f.store.put("deployment", "version", "2");
        const auto recoveredAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 2; }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - recoveredAt < kLongPollTimeout / 2);
    }

    // Guards against a new configuration that peers do not tell of, because a table that did not
    // change is older.
    void revisionFollowsConfigurationChanges()
    {
        // The other table is not asked again while the test runs.
        Fixture f({ .longPollTimeout = milliseconds(5000), .pollInterval = milliseconds(1) });
        f.store.put("targets", "t1", "p");
        f.store.put("deployment", "version", "1");
        f.updater.start();
        CPPUNIT_ASSERT(
                runUntil(f.context, [&] { return f.configuration() == 1 && f.hasTarget("t1"); }));
        const std::uint64_t before = f.updater.revision();
        f.store.put("deployment", "version", "2");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 2; }));
        const std::uint64_t after = f.updater.revision();
        CPPUNIT_ASSERT(after > before);
        f.store.put("targets", "t2", "p");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("t2"); }));
        CPPUNIT_ASSERT_EQUAL(after, f.updater.revision());
    }

    // Guards against engines that take no work because weights that were named just now count as
    // named before this instance started, and the other way round.
    void initialWeightsCountAsOld()
    {
        constexpr milliseconds kAgeAtStart{ 10'000 };
        for (const bool isSetBeforeStart : { true, false }) {
            Fixture f({ .longPollTimeout = milliseconds(20), .initialWeightsAge = kAgeAtStart });
            if (isSetBeforeStart)
                f.store.put("deployment", "weights", "2");
            f.store.put("deployment", "version", "1");
            f.updater.start();
            CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
            f.store.put("deployment", "weights", "2");
            CPPUNIT_ASSERT(
                    runUntil(f.context, [&] { return f.updater.view()->wantedWeights("m") == 2; }));
            const auto replacedAt = f.updater.view()->replacedAt("m", 1);
            CPPUNIT_ASSERT(replacedAt.has_value());
            const auto age = std::chrono::steady_clock::now() - *replacedAt;
            CPPUNIT_ASSERT_EQUAL(isSetBeforeStart, age >= kAgeAtStart);
        }
    }

    // Guards against reading a whole table again and again while it is empty: each call is billed.
    void emptyStoreIsNotReadRepeatedly()
    {
        Fixture f;
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.answeredPolls >= 4; }));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(f.documents.tables.size()), f.store.fullReads);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewUpdaterTest);

} // namespace chervilfield::entry
