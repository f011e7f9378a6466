#include "routing/load_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace chervilfield::routing {

class LoadLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadLedgerTest);
    CPPUNIT_TEST(endedFlightsLeaveNothing);
    CPPUNIT_TEST(peersCountUntilTheyExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against work that stays counted after its requests have ended.
    void endedFlightsLeaveNothing()
    {
        const bool holds = rc::check("the ledger is empty when all flights have ended", [] {
            LoadLedger ledger;
            std::vector<InFlightRequest> flights;
            const auto count = *rc::gen::inRange(1, 30);
            for (int i = 0; i < count; ++i) {
                flights.push_back(
                        { .target = *rc::gen::inRange<TargetId>(1, 4),
                          .tokens = *rc::gen::inRange(0, 30000) / 3.0,
                          .workClass = *rc::gen::element(WorkClass::Short, WorkClass::Long),
                          .priority = *rc::gen::element(Priority::Interactive, Priority::Batch) });
                addInFlightRequest(ledger, flights.back(), Time(std::chrono::seconds(1)));
                if (*rc::gen::arbitrary<bool>())
                    markRunning(ledger, flights.back());
            }
            for (const InFlightRequest &flight : flights)
                removeInFlightRequest(ledger, flight);
            RC_ASSERT(ownDigest(ledger).empty());
            for (const auto &[target, entry] : ledger.targets)
                RC_ASSERT(entry.own.waitingTokens[0] + entry.own.waitingTokens[1] < 0.01);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a silent daemon whose load blocks targets for ever, and against digests that
    // add up instead of replacing each other.
    void peersCountUntilTheyExpire()
    {
        using std::chrono::milliseconds;
        LoadLedger ledger;
        const Time start{ std::chrono::seconds(100) };
        const auto waiting = [&] { return estimateWork(ledger, 1).waitingTokens[0]; };
        DigestEntry entry{ .target = 1 };
        entry.work.waitingTokens[0] = 1000;
        mergeDigest(ledger, 7, std::span(&entry, 1), start);
        mergeDigest(ledger, 8, std::span(&entry, 1), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, waiting(), 1e-6);
        mergeDigest(ledger, 8, std::span(&entry, 1), start + milliseconds(900));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, waiting(), 1e-6);
        expireDigests(ledger, milliseconds(500), start + milliseconds(1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, waiting(), 1e-6);
        mergeDigest(ledger, 8, {}, start + milliseconds(1100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, waiting(), 1e-6);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadLedgerTest);

} // namespace chervilfield::routing
