#include "view_updater_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>
#include <set>
#include <string>

namespace chervilfield::entry {

namespace {

// Event that ends the time in which nobody confirms the targets.
enum class Confirmation { Store, Peer };

struct Row
{
    std::string name;
    std::uint64_t era; ///< Of the store, 0 if it was never restored.
    Confirmation confirmation;
};

constexpr ViewUpdaterOptions kOptions{ .longPollTimeout = milliseconds(20),
                                       .pollInterval = milliseconds(1),
                                       .minBackoff = milliseconds(5),
                                       .maxBackoff = milliseconds(5),
                                       .reregistrationTime = milliseconds(200),
                                       .outageThreshold = milliseconds(600) };

// Starts an instance whose view has the targets "stays" and "gone".
void start(ViewUpdaterFixture &f, std::uint64_t era)
{
    f.store.startEra = era;
    f.store.put("deployment", "version", "1");
    f.store.put("targets", "stays", "p");
    f.store.put("targets", "gone", "p");
    f.updater.start();
    CPPUNIT_ASSERT(
            runUntil(f.context, [&] { return f.hasTarget("gone") && f.configuration() == 1; }));
}

// Confirms that the target "gone" has no row, and checks that it leaves the view.
void confirmRemoval(ViewUpdaterFixture &f, const Row &row)
{
    if (row.confirmation == Confirmation::Store)
        f.store.isUnreachable = false;
    else
        f.pollPeer = [&f] {
            return f.merge({ .revisionInForce = f.updater.version(),
                             .entries = {},
                             .storeEra = f.updater.storeEra() });
        };
    CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] { return !f.hasTarget("gone"); }));
    CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("stays"));
}

const Row kRows[] = {
    { "store", 0, Confirmation::Store },
    { "peer", 0, Confirmation::Peer },
    { "store of a later era", 1, Confirmation::Store },
    { "peer in a later era", 1, Confirmation::Peer },
};

std::set<std::string> targetsOf(const ViewUpdaterFixture &f)
{
    std::set<std::string> ids;
    const auto view = f.updater.view();
    for (const fleet::Target &target : view->targets())
        ids.insert(target.id);
    return ids;
}

// Plays a random schedule of outages, registrations, removals and rows from a peer, and checks that
// the view ends with the targets that are registered.
void playSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](int count) { return static_cast<int>(random() % count); };
    ViewUpdaterOptions options = kOptions;
    options.reregistrationTime = milliseconds(40);
    options.outageThreshold = milliseconds(25);
    ViewUpdaterFixture f(options);
    ViewUpdaterFixture peer(options);
    std::set<std::string> registered{ "stays", "gone" };
    start(f, 0);
    start(peer, 0);
    bool isPeerUpToDate = false;
    const auto mergeRows = [&] {
        auto entries = peer.updater.entries({ .after = f.updater.version() });
        if (!isPeerUpToDate)
            entries.revisionInForce = 0;
        return f.merge(entries);
    };
    const int steps = 20 + draw(20);
    for (int i = 0; i < steps; ++i) {
        const std::string id = std::string("t") + std::to_string(draw(4));
        switch (draw(6)) {
        case 0:
        case 1:
            f.store.isUnreachable = !f.store.isUnreachable;
            break;
        case 2:
            registered.insert(id);
            f.store.put("targets", id, "p");
            peer.store.put("targets", id, "p");
            break;
        case 3:
            registered.erase(id);
            f.store.erase("targets", id);
            peer.store.erase("targets", id);
            break;
        case 4:
            isPeerUpToDate = draw(2) == 0;
            f.pollPeer = draw(2) == 0 ? std::function<bool()>(mergeRows) : nullptr;
            break;
        default:
            mergeRows();
        }
        peer.context.run_for(milliseconds(3));
        f.context.run_for(milliseconds(draw(12)));
    }
    f.store.isUnreachable = false;
    f.pollPeer = nullptr;
    CPPUNIT_ASSERT_MESSAGE("VIEW_SEED=" + std::to_string(seed),
                           runUntil(f.context, [&] { return targetsOf(f) == registered; }));
}

} // namespace

class RetainedTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetainedTargetsTest);
    CPPUNIT_TEST(targetsAreDroppedIfRegistrationTimeEndsUnconfirmed);
    CPPUNIT_TEST(targetsRemovedByAnOutdatedPeerAreDropped);
    CPPUNIT_TEST(anyScheduleEndsWithTheRegisteredTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests two cuts from the store, of which the second one lasts at the end of the time to
    // register again. Guards against a target without a row that stays in use until another row of
    // a target changes.
    void targetsAreDroppedIfRegistrationTimeEndsUnconfirmed()
    {
        for (const Row &row : kRows) {
            ViewUpdaterFixture f(kOptions);
            start(f, row.era);
            f.store.isUnreachable = true;
            f.context.run_for(kOptions.outageThreshold * 3 / 2);
            f.store.erase("targets", "gone");
            f.store.isUnreachable = false;
            CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] {
                                       return f.updater.version("targets")
                                              == f.store.currentVersion();
                                   }));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("gone"));
            f.store.isUnreachable = true;
            const int views = f.publishedViewCount;
            CPPUNIT_ASSERT_MESSAGE(
                    row.name, runUntil(f.context, [&] { return f.publishedViewCount > views; }));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("gone"));
            confirmRemoval(f, row);
        }
    }

    // Tests a removal that is learned from a peer that is out of date, while the store does not
    // respond for less than the outage threshold. Guards against a target that stays in use because
    // the store's confirmation then brings no new row.
    void targetsRemovedByAnOutdatedPeerAreDropped()
    {
        for (const Row &row : kRows) {
            ViewUpdaterFixture f(kOptions);
            ViewUpdaterFixture peer(kOptions);
            start(f, row.era);
            start(peer, row.era);
            for (ViewUpdaterFixture *each : { &f, &peer })
                each->store.erase("targets", "gone");
            f.store.isUnreachable = true;
            CPPUNIT_ASSERT_MESSAGE(row.name,
                                   runUntil(peer.context, [&] { return !peer.hasTarget("gone"); }));
            CPPUNIT_ASSERT_MESSAGE(row.name, runUntil(f.context, [&] {
                                       return f.updater.isPollFailing("targets");
                                   }));
            auto entries = peer.updater.entries(
                    { .after = f.updater.version(), .storeEra = f.updater.storeEra() });
            entries.revisionInForce = 0;
            f.merge(entries);
            CPPUNIT_ASSERT_MESSAGE(row.name, f.hasTarget("gone"));
            confirmRemoval(f, row);
        }
    }

    // Tests random schedules of the events above. VIEW_SEED selects a single one. Guards against
    // other orders in which a target without a row stays in use.
    void anyScheduleEndsWithTheRegisteredTargets()
    {
        std::uint64_t first = 1;
        std::uint64_t last = 20;
        // No other thread changes the environment.
        if (const char *seed = std::getenv("VIEW_SEED")) // NOLINT(concurrency-mt-unsafe)
            first = last = std::stoull(seed);
        for (std::uint64_t seed = first; seed <= last; ++seed)
            playSchedule(seed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetainedTargetsTest);

} // namespace chervilfield::entry
