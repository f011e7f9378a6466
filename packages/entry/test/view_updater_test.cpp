#include "view_updater_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace chervilfield::entry {

using Fixture = ViewUpdaterFixture;

class ViewUpdaterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewUpdaterTest);
    CPPUNIT_TEST(viewFollowsTheStore);
    CPPUNIT_TEST(lostHistoryCausesFullRead);
    CPPUNIT_TEST(targetsAreRetainedDuringOutage);
    CPPUNIT_TEST(peersReplaceUnreachableStore);
    CPPUNIT_TEST(rowsBesideAnOddOneReachPeers);
    CPPUNIT_TEST(peersReportRemovedTargets);
    CPPUNIT_TEST(followersReportRemovalsTheyDidNotSee);
    CPPUNIT_TEST(incompleteTransfersAreNotUpToDate);
    CPPUNIT_TEST(removedTargetsDoNotReturn);
    CPPUNIT_TEST(removedTargetsAreNotRetainedWithoutOutage);
    CPPUNIT_TEST(followerWithoutStoreAnswersIsNotUpToDate);
    CPPUNIT_TEST(unresponsiveStoreIsNotLongPolled);
    CPPUNIT_TEST(revisionFollowsConfigurationChanges);
    CPPUNIT_TEST(initialWeightsCountAsOld);
    CPPUNIT_TEST(lateFirstCopyDoesNotExtendWeightsLimit);
    CPPUNIT_TEST(weightsLearnedLateCountAsOld);
    CPPUNIT_TEST(weightsAgeIsTakenFromPeers);
    CPPUNIT_TEST(emptyStoreIsNotReadRepeatedly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the view reflects added, changed and deleted rows. Guards against an instance that
    // keeps an older configuration or a deregistered target.
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
            return !f.hasTarget("t1") && f.updater.view()->desiredWeights("m") == 2;
        }));
        CPPUNIT_ASSERT(f.updater.isFresh());
    }

    // Tests that tables are read in full after the store has dropped its history. Guards against
    // changes that are missed because the store no longer lists them.
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

    // Tests that targets are retained during an outage of the store and for the reregistration time
    // after it. Guards against losing all targets because their registrations expired meanwhile,
    // and against retaining those that do not register again.
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

    // Tests that rows of a peer replace those of an unreachable store. Guards against an old
    // configuration in an instance that alone cannot reach the store, and against a late response
    // of a peer that restores older rows.
    void peersReplaceUnreachableStore()
    {
        Fixture peer;
        peer.store.put("deployment", "version", "4");
        peer.store.put("targets", "t1", "p");
        peer.updater.start();
        CPPUNIT_ASSERT(runUntil(peer.context,
                                [&] { return peer.configuration() == 4 && peer.hasTarget("t1"); }));
        const auto older = peer.updater.entries({});
        Fixture f;
        f.store.isUnreachable = true;
        f.updater.start();
        CPPUNIT_ASSERT(!f.updater.isFresh());
        f.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), f.configuration());
        CPPUNIT_ASSERT(f.hasTarget("t1") && f.updater.isFresh());
        peer.store.put("deployment", "version", "5");
        peer.store.erase("targets", "t1");
        CPPUNIT_ASSERT(runUntil(
                peer.context, [&] { return peer.configuration() == 5 && !peer.hasTarget("t1"); }));
        f.merge(peer.updater.entries({ .after = f.updater.version() }));
        f.merge(older);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), f.configuration());
        CPPUNIT_ASSERT(!f.hasTarget("t1"));
    }

    // Tests rows of other writers beside the registration of a target, in the same transaction.
    // Guards against an instance that takes the rows from a peer and lacks the target.
    void rowsBesideAnOddOneReachPeers()
    {
        const std::pair<std::string, std::string> rows[] = {
            { "odd", "\xff\xfe" },
            { "odd", std::string("\0\x01", 2) },
            { "odd", "\xed\xa0\x80" }, // A surrogate.
            { "odd", std::string(20'000, '[') },
            { "odd", "\"}],[{\\" },
            { "", "p" },
            { "\xc3", "p" },
            { std::string(200, '"'), "p" },
        };
        for (const auto &row : rows) {
            for (const bool isCompressed : { false, true }) {
                Fixture peer;
                peer.store.put("deployment", "version", "4");
                peer.store.putTogether("targets", row, { "t1", "p" });
                peer.updater.start();
                CPPUNIT_ASSERT(runUntil(peer.context, [&] { return peer.hasTarget("t1"); }));
                Fixture f;
                f.merge(peer.updater.entries({ .acceptsCompressed = isCompressed }));
                CPPUNIT_ASSERT_MESSAGE(row.first + row.second.substr(0, 10), f.hasTarget("t1"));
                CPPUNIT_ASSERT_MESSAGE(row.first + row.second.substr(0, 10),
                                       f.hasTarget(row.first));
            }
        }
    }

    // Tests that a peer reports a deleted target to an instance that cannot reach the store. Guards
    // against retaining that target until the store is back, and against publishing a new view
    // after each poll.
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
        f.pollPeer = [&] {
            ++polls;
            peer.context.run_for(milliseconds(1));
            return f.merge(peer.updater.entries({ .after = f.updater.version() }));
        };
        // From the second poll on, all rows come from the peer alone.
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return polls >= 2; }));
        peer.store.erase("targets", "t1");
        CPPUNIT_ASSERT(runUntil(peer.context, [&] { return !peer.hasTarget("t1"); }));
        const int before = f.publishedViewCount;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.hasTarget("t1"); }));
        // One view for the deleted row, and one at the end of each of two reregistration times:
        // after the store was back, and after the first poll of the peer.
        constexpr int kViews = 3;
        CPPUNIT_ASSERT(f.publishedViewCount - before <= kViews);
    }

    // Tests that an instance learns of a removal that the follower it copies from did not see.
    // Guards against requests to a target that left while a follower restarted: it would stay in
    // the copies of undisturbed instances for good.
    void followersReportRemovalsTheyDidNotSee()
    {
        struct Row
        {
            std::string name;
            bool isRestarted; ///< The follower restarts; otherwise the store loses its history.
            std::string table;
        };
        for (const Row &row :
             { Row{ "restart", true, "targets" }, Row{ "restart, all tables", true, "" },
               Row{ "lost history", false, "targets" },
               Row{ "lost history, all tables", false, "" } }) {
            Fixture follower;
            follower.store.put("deployment", "version", "1");
            follower.store.put("targets", "kept", "p");
            follower.updater.start();
            CPPUNIT_ASSERT(runUntil(follower.context, [&] { return follower.hasTarget("kept"); }));
            FakeStore store = follower.store;
            store.put("targets", "leaving", "p");
            Fixture other;
            other.store = store;
            other.updater.start();
            CPPUNIT_ASSERT(runUntil(other.context, [&] { return other.hasTarget("leaving"); }));
            Fixture f;
            f.merge(other.updater.entries({}));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("leaving") && f.hasTarget("kept"));

            // The follower sees neither the registration nor the removal of the target.
            store.erase("targets", "leaving");
            store.put("targets", "new", "p");
            constexpr std::uint64_t kChanges = 5; // Of the store, each with its version.
            Fixture restarted;
            if (row.isRestarted)
                restarted.updater.start();
            Fixture &source = row.isRestarted ? restarted : follower;
            source.store = store;
            CPPUNIT_ASSERT(runUntil(source.context, [&] {
                const bool isRead = source.hasTarget("new") && source.updater.version() == kChanges;
                source.store.hasLostHistory = !isRead && !row.isRestarted;
                return isRead;
            }));
            const peers::EntriesQuery query{ .after = f.updater.version(row.table),
                                             .table = row.table };
            const auto requestedAt = ViewUpdater::Clock::now();
            CPPUNIT_ASSERT_MESSAGE(row.name, f.updater.merge(source.updater.entries(query),
                                                             requestedAt, row.table));
            CPPUNIT_ASSERT_MESSAGE(row.name, !f.hasTarget("leaving"));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("kept") && f.hasTarget("new"));
        }
    }

    // Tests transfers that lack rows, because they exceed a limit or cannot be read. Guards against
    // a receiver that counts them as complete and never learns of the missing removals.
    void incompleteTransfersAreNotUpToDate()
    {
        Fixture sender;
        sender.updater.start();
        CPPUNIT_ASSERT(runUntil(sender.context, [&] { return sender.updater.isStoreReachable(); }));
        sender.store.put("deployment", "version", "1");
        for (std::size_t i = 0; i <= peers::kMaxConfigurationEntries; ++i)
            sender.store.put("targets", "t" + std::to_string(i), "p");
        constexpr std::uint64_t kChanges = peers::kMaxConfigurationEntries + 2;
        CPPUNIT_ASSERT(runUntil(sender.context, [&] {
            return sender.updater.version() == kChanges && sender.updater.isStoreReachable();
        }));
        const peers::EntriesQuery latest{ .after = kChanges - 1 };
        CPPUNIT_ASSERT(sender.updater.entries(latest).revisionInForce > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), sender.updater.entries({}).revisionInForce);

        struct Row
        {
            std::string name;
            std::string value;
            bool isCompressed;
        };
        for (const Row &row : { Row{ "no JSON", "[", false }, Row{ "no list", "{}", false },
                                Row{ "no row", "[1]", false },
                                Row{ "incomplete row", R"([{"table":"targets"}])", false },
                                Row{ "not a frame", "[]", true } }) {
            Fixture f;
            const peers::ConfigurationEntries entries{
                .revisionInForce = 9, .entries = { { 8, row.value, row.isCompressed } }
            };
            CPPUNIT_ASSERT_MESSAGE(row.name, !f.merge(entries));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::uint64_t(0), f.updater.version());
        }
    }

    // Tests rows of a peer that is out of date. Guards against a target that left before the start
    // of this instance and that the peer still knows.
    void removedTargetsDoNotReturn()
    {
        Fixture peer;
        peer.store.put("deployment", "version", "1");
        peer.store.put("targets", "gone", "p");
        peer.updater.start();
        CPPUNIT_ASSERT(runUntil(peer.context, [&] { return peer.hasTarget("gone"); }));
        Fixture f;
        f.store = peer.store;
        f.store.erase("targets", "gone");
        f.store.put("targets", "new", "p");
        peer.store.isUnreachable = true;
        CPPUNIT_ASSERT(runUntil(peer.context, [&] { return !peer.updater.isStoreReachable(); }));
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.hasTarget("new"); }));
        CPPUNIT_ASSERT(!f.merge(peer.updater.entries({})));
        CPPUNIT_ASSERT(!f.hasTarget("gone"));
    }

    // Tests that a deleted target leaves the view at once if there was no outage. Guards against
    // retaining it because this instance polled only followers for a while, or because the store
    // refused it for less than the outage threshold.
    void removedTargetsAreNotRetainedWithoutOutage()
    {
        struct Case
        {
            std::string name;
            bool storeRefuses; ///< The store refuses calls for a moment.
            milliseconds timeWithoutStore;
        };
        constexpr milliseconds kOutageThreshold{ 200 };
        constexpr milliseconds kReregistrationTime{ 2000 };
        for (const Case &each : { Case{ "peers only", false, kOutageThreshold * 2 },
                                  Case{ "refused", true, milliseconds(20) } }) {
            Fixture f({ .longPollTimeout = milliseconds(20),
                        .pollInterval = milliseconds(1),
                        .minBackoff = milliseconds(5),
                        .maxBackoff = milliseconds(5),
                        .reregistrationTime = kReregistrationTime,
                        .outageThreshold = kOutageThreshold });
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
            f.pollPeer = [&] {
                return f.merge({ .revisionInForce = f.updater.version(), .entries = {} });
            };
            f.context.run_for(each.timeWithoutStore);
            f.store.isUnreachable = false;
            f.store.erase("targets", "t1");
            f.pollPeer = {};
            const auto removedAt = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   runUntil(f.context, [&] { return !f.hasTarget("t1"); }));
            CPPUNIT_ASSERT_MESSAGE(each.name, std::chrono::steady_clock::now() - removedAt
                                                      < kReregistrationTime / 2);
        }
    }

    // Tests that an instance whose long polls have been pending for too long does not report its
    // rows as up to date. Guards against requests to a deregistered target, because the follower
    // that others poll has not heard from the store for a while.
    void followerWithoutStoreAnswersIsNotUpToDate()
    {
        Fixture f({ .longPollTimeout = milliseconds(2000), .maxCurrentAge = milliseconds(100) });
        f.store.put("deployment", "version", "1");
        f.store.put("targets", "t1", "p");
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.updater.isCurrent(); }));
        CPPUNIT_ASSERT(f.updater.entries({}).revisionInForce > 0);
        f.store.isUnresponsive = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return !f.updater.isCurrent(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), f.updater.entries({}).revisionInForce);
        CPPUNIT_ASSERT(!f.updater.isPollFailing("targets"));
    }

    // Tests that polls after a failure do not wait for changes. Guards against a long poll that an
    // unresponsive store never completes, and that still blocks long after the store is back.
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
        // The polls in progress fail; the next ones are sent to an unresponsive store.
        f.store.isUnreachable = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.updater.isPollFailing("deployment"); }));
        f.store.isUnreachable = false;
        f.store.isUnresponsive = true;
        CPPUNIT_ASSERT(runUntil(f.context, [&] {
            return f.store.unansweredPolls >= static_cast<int>(f.schema.tables.size());
        }));
        f.store.isUnresponsive = false;
        f.store.put("deployment", "version", "2");
        const auto recoveredAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 2; }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - recoveredAt < kLongPollTimeout / 2);
    }

    // Tests that the revision increases with each configuration change and not with targets. Guards
    // against a new configuration that is not announced to peers, because the version up to which
    // an unchanged table is known has not increased.
    void revisionFollowsConfigurationChanges()
    {
        // The long poll of the unchanged table stays pending while the test runs.
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

    // Tests that only weight versions in the first copy of the deployment get the initial age.
    // Guards against engines that get no requests because a version that was just set counts as
    // old, and against requests on outdated weights because an old version counts as just set.
    void initialWeightsCountAsOld()
    {
        constexpr milliseconds kAgeAtStart{ 10'000 };
        for (const bool isSetBeforeStart : { true, false }) {
            Fixture f({ .longPollTimeout = milliseconds(20), .assumedWeightsAge = kAgeAtStart });
            if (isSetBeforeStart)
                f.store.put("deployment", "weights", "2");
            f.store.put("deployment", "version", "1");
            f.updater.start();
            CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
            f.store.put("deployment", "weights", "2");
            CPPUNIT_ASSERT(runUntil(f.context,
                                    [&] { return f.updater.view()->desiredWeights("m") == 2; }));
            const auto replacedAt = f.updater.view()->replacedAt("m", 1);
            CPPUNIT_ASSERT(replacedAt.has_value());
            const auto age = ViewUpdater::Clock::now() - *replacedAt;
            CPPUNIT_ASSERT_EQUAL(isSetBeforeStart, age >= kAgeAtStart);
        }
    }

    // Guards against requests on replaced weights after an instance has settled, because its first
    // copy came late and the assumed age counted from it.
    void lateFirstCopyDoesNotExtendWeightsLimit()
    {
        constexpr milliseconds kAgeAtStart{ 10'000 };
        const auto startedAt = ViewUpdater::Clock::now();
        Fixture f({ .longPollTimeout = milliseconds(20),
                    .minBackoff = milliseconds(5),
                    .maxBackoff = milliseconds(5),
                    .assumedWeightsAge = kAgeAtStart });
        f.store.put("deployment", "version", "1");
        f.store.put("deployment", "weights", "2");
        f.store.isUnreachable = true;
        f.updater.start();
        f.context.run_for(milliseconds(300));
        f.store.isUnreachable = false;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.configuration() == 1; }));
        const auto replacedAt = f.updater.view()->replacedAt("m", 1);
        CPPUNIT_ASSERT(replacedAt.has_value());
        CPPUNIT_ASSERT(*replacedAt < startedAt - kAgeAtStart + milliseconds(200));
    }

    // Guards against requests on replaced weights: an instance that learns late of a version takes
    // it to have just been set.
    void weightsLearnedLateCountAsOld()
    {
        struct Case
        {
            std::string name;
            std::function<void(Fixture &)> lose;   ///< Keeps the instance from the change.
            std::function<void(Fixture &)> regain; ///< Ends that.
            milliseconds delay;
            milliseconds maxError; ///< Maximum excess of the age.
        };
        const milliseconds kDelay{ 300 };
        const milliseconds kError{ 100 };
        const Case cases[] = {
            { "at once", [](Fixture &) {}, [](Fixture &) {}, milliseconds(0), kError },
            { "store unreachable", [](Fixture &f) { f.store.isUnreachable = true; },
              [](Fixture &f) { f.store.isUnreachable = false; }, kDelay, kError },
            { "store unresponsive", [](Fixture &f) { f.store.isUnresponsive = true; },
              [](Fixture &f) { f.store.isUnresponsive = false; }, kDelay, kError },
            // The responses made before the stop are read after it.
            { "process stopped", [](Fixture &f) { f.store.responseDelay = milliseconds(300); },
              [](Fixture &f) { f.store.responseDelay = milliseconds(0); }, kDelay,
              kDelay + kError },
        };
        for (const Case &each : cases) {
            Fixture f;
            f.store.put("deployment", "version", "1");
            f.updater.start();
            CPPUNIT_ASSERT_MESSAGE(each.name, runUntil(f.context, [&] {
                                       return f.configuration() == 1 && f.updater.isCurrent();
                                   }));
            f.context.run_for(milliseconds(50));
            each.lose(f);
            f.context.run_for(milliseconds(50));
            const auto setAt = ViewUpdater::Clock::now();
            f.store.put("deployment", "weights", "2");
            f.context.run_for(each.delay);
            each.regain(f);
            CPPUNIT_ASSERT_MESSAGE(each.name, runUntil(f.context, [&] {
                                       return f.updater.view()->desiredWeights("m") == 2;
                                   }));
            const auto replacedAt = f.updater.view()->replacedAt("m", 1);
            CPPUNIT_ASSERT_MESSAGE(each.name, replacedAt.has_value());
            CPPUNIT_ASSERT_MESSAGE(each.name, *replacedAt <= setAt);
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   *replacedAt >= setAt - each.maxError - milliseconds(50));
        }
    }

    // Guards against requests on replaced weights: an instance that has started, or learns of
    // several versions at once, doesn't know when they were set although a peer does.
    void weightsAgeIsTakenFromPeers()
    {
        using Clock = ViewUpdater::Clock;
        struct Case
        {
            std::string name;
            milliseconds assumedAge; ///< Age that the started instance assumes.
        };
        for (const Case &each : { Case{ "assumed too young", milliseconds(0) },
                                  Case{ "assumed too old", milliseconds(60'000) } }) {
            Fixture peer;
            peer.store.put("deployment", "version", "1");
            peer.updater.start();
            CPPUNIT_ASSERT(runUntil(peer.context, [&] { return peer.updater.isCurrent(); }));
            std::vector<Clock::time_point> setAt;
            for (const std::string version : { "2", "3" }) {
                setAt.push_back(Clock::now());
                peer.store.put("deployment", "weights", version);
                CPPUNIT_ASSERT(runUntil(peer.context, [&] {
                    return peer.updater.view()->desiredWeights("m") == std::stoull(version);
                }));
                peer.context.run_for(milliseconds(200));
            }
            Fixture f(
                    { .longPollTimeout = milliseconds(20), .assumedWeightsAge = each.assumedAge });
            f.store.put("deployment", "version", "1");
            f.store.put("deployment", "weights", "3");
            f.updater.start();
            CPPUNIT_ASSERT_MESSAGE(each.name, runUntil(f.context, [&] {
                                       return f.updater.view()->desiredWeights("m") == 3;
                                   }));
            CPPUNIT_ASSERT_MESSAGE(each.name, f.updater.needsWeightsAges());
            CPPUNIT_ASSERT(f.updater.entries({}).weightsAges.empty());
            const auto requestedAt = Clock::now();
            f.merge(peer.updater.entries({}), requestedAt);
            CPPUNIT_ASSERT_MESSAGE(each.name, !f.updater.needsWeightsAges());
            for (std::uint64_t old = 1; old <= 2; ++old) {
                const auto replacedAt = f.updater.view()->replacedAt("m", old);
                CPPUNIT_ASSERT_MESSAGE(each.name, replacedAt.has_value());
                CPPUNIT_ASSERT_MESSAGE(each.name, *replacedAt <= setAt[old - 1]);
                CPPUNIT_ASSERT_MESSAGE(each.name, *replacedAt > setAt[old - 1] - milliseconds(150));
            }
        }
    }

    // Tests that an empty table is read in full only once. Guards against a full read at each poll
    // of an empty table, each of which the platform bills.
    void emptyStoreIsNotReadRepeatedly()
    {
        Fixture f;
        f.updater.start();
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.answeredPolls >= 4; }));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(f.schema.tables.size()), f.store.fullReads);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewUpdaterTest);

} // namespace chervilfield::entry
