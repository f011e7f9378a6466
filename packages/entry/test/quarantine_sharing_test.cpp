#include "entry/quarantine_sharing.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace chervilfield::entry {

using quarantine::CrashReport;
using quarantine::QuarantinedPart;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

const CrashReport kReport{ .run = { "engine", 5 }, .suspects = { { 9, { 1, 2 } } } };
const std::vector<quarantine::PartKey> kParts{ 3, 4 };
const QuarantinedPart kQuarantine{ .part = 7, .remaining = minutes(10) };

// Calls of the hooks of one instance. Each records its arguments under its own context.
struct Fixture
{
    boost::asio::io_context control;
    boost::asio::io_context traffic;
    FakeStore fakeStore;
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    std::vector<CrashReport> recordedCrashes;
    std::vector<std::vector<quarantine::PartKey>> recordedInnocent;
    std::vector<QuarantinedPart> adopted;
    std::vector<CrashReport> announcedCrashes;
    std::vector<std::vector<quarantine::PartKey>> announcedInnocent;
    std::vector<std::vector<peers::SharedQuarantine>> announcedQuarantines;
    std::vector<std::vector<peers::SharedQuarantine>> exchanged;
    QuarantineSharing sharing{
        control,
        traffic,
        fakeStore,
        log,
        { .recordCrash = [this](const CrashReport &report) { recordedCrashes.push_back(report); },
          .recordInnocent = [this](const auto &parts) { recordedInnocent.push_back(parts); },
          .adopt = [this](const QuarantinedPart &part) { adopted.push_back(part); } },
        { .announceCrash = [this](const auto &report) { announcedCrashes.push_back(report); },
          .addInnocent = [this](const auto &parts) { announcedInnocent.push_back(parts); },
          .announceQuarantines =
                  [this](const auto &quarantines) { announcedQuarantines.push_back(quarantines); },
          .exchange = [this](const auto &quarantines) { exchanged.push_back(quarantines); },
          .rank = [] { return std::size_t(0); } },
        { .checkInterval = milliseconds(1) }
    };

    std::size_t trafficCalls() const
    {
        return recordedCrashes.size() + recordedInnocent.size() + adopted.size();
    }
    std::size_t controlCalls() const
    {
        return announcedCrashes.size() + announcedInnocent.size() + announcedQuarantines.size()
               + exchanged.size();
    }
};

} // namespace

class QuarantineSharingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineSharingTest);
    CPPUNIT_TEST(ownFindingsGoToPeersOnControlThread);
    CPPUNIT_TEST(receivedFindingsGoToTrafficThread);
    CPPUNIT_TEST(quarantinesAreSavedAndReportedAsSaved);
    CPPUNIT_TEST(savedQuarantinesAreAdoptedAtStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that what the traffic thread finds reaches the peers unchanged, and only from the
    // control context. Guards against use of the mesh from two threads.
    void ownFindingsGoToPeersOnControlThread()
    {
        Fixture f;
        f.sharing.shareCrash(kReport);
        f.sharing.shareInnocent(kParts);
        f.sharing.shareQuarantine(kQuarantine);
        f.sharing.exchange({ kQuarantine });
        f.traffic.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.controlCalls());
        f.control.poll();
        const std::vector<peers::SharedQuarantine> unsaved{ { kQuarantine, false } };
        CPPUNIT_ASSERT(f.announcedCrashes == std::vector(1, kReport));
        CPPUNIT_ASSERT(f.announcedInnocent == std::vector(1, kParts));
        CPPUNIT_ASSERT(f.announcedQuarantines == std::vector(1, unsaved));
        CPPUNIT_ASSERT(f.exchanged == std::vector(1, unsaved));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.trafficCalls());
    }

    // Tests that what peers send reaches the traffic context unchanged, and only there. Guards
    // against use of the quarantine from two threads.
    void receivedFindingsGoToTrafficThread()
    {
        Fixture f;
        f.sharing.receiveCrash(kReport);
        f.sharing.receiveInnocent({ kParts });
        f.sharing.receiveQuarantines({ { { kQuarantine, false } } });
        f.sharing.receiveQuarantines({});
        f.control.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.trafficCalls());
        f.traffic.poll();
        CPPUNIT_ASSERT(f.recordedCrashes == std::vector(1, kReport));
        CPPUNIT_ASSERT(f.recordedInnocent == std::vector(1, kParts));
        CPPUNIT_ASSERT(f.adopted == std::vector(1, kQuarantine));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), f.controlCalls());
    }

    // Tests that a quarantine is saved unless a peer has reported it as saved, that the peers learn
    // that it is, and that it is removed when it is lifted. Guards against a write from each
    // instance.
    void quarantinesAreSavedAndReportedAsSaved()
    {
        struct Row
        {
            std::string name;
            bool isSavedByPeer;
            int writes;
        };
        const Row rows[] = { { "new", false, 1 }, { "saved by a peer", true, 0 } };
        for (const Row &row : rows) {
            Fixture f;
            f.sharing.start();
            f.sharing.receiveQuarantines({ { { kQuarantine, row.isSavedByPeer } } });
            f.sharing.exchange({ kQuarantine });
            f.control.run_for(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.writes, f.fakeStore.writes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<std::size_t>(row.writes),
                                         f.announcedQuarantines.size());
            for (const auto &announced : f.announcedQuarantines)
                CPPUNIT_ASSERT_MESSAGE(row.name, announced.at(0).isSaved);
            f.sharing.exchange({ kQuarantine });
            f.control.run_for(milliseconds(5));
            CPPUNIT_ASSERT_MESSAGE(row.name, f.exchanged.back().at(0).isSaved);
            f.sharing.lift(kQuarantine.part);
            f.sharing.exchange({});
            f.control.run_for(milliseconds(200));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 2 * row.writes, f.fakeStore.writes);
        }
    }

    // Tests that the quarantines of the store reach the traffic context after a start. Guards
    // against a restarted deployment that sends quarantined parts to engines.
    void savedQuarantinesAreAdoptedAtStart()
    {
        Fixture f;
        const auto now = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
        f.fakeStore.put("quarantines", "parts",
                        encodeQuarantines({ { kQuarantine.part, now, kQuarantine.remaining } }));
        f.sharing.start();
        CPPUNIT_ASSERT(runUntil(f.control, [&] {
            f.traffic.poll();
            f.traffic.restart();
            return !f.adopted.empty();
        }));
        CPPUNIT_ASSERT(f.adopted == std::vector(1, kQuarantine));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineSharingTest);

} // namespace chervilfield::entry
