#include "routing/load_ledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace chervilfield::routing {

class LoadLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadLedgerTest);
    CPPUNIT_TEST(endedRequestsLeaveNoWork);
    CPPUNIT_TEST(peersCountUntilTheyExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that no work remains after all requests have ended, in either phase. Guards against
    // requests that stay counted because adding and removing them are not symmetric.
    void endedRequestsLeaveNoWork()
    {
        const bool holds = rc::check("the ledger is empty when all requests have ended", [] {
            LoadLedger ledger;
            std::vector<InFlightRequest> requests;
            const auto count = *rc::gen::inRange(1, 30);
            for (int i = 0; i < count; ++i) {
                requests.push_back(
                        { .target = *rc::gen::inRange<TargetId>(1, 4),
                          .tokens = *rc::gen::inRange(0, 30000) / 3.0,
                          .workClass = *rc::gen::element(WorkClass::Short, WorkClass::Long),
                          .priority = *rc::gen::element(Priority::Interactive, Priority::Batch) });
                addInFlightRequest(ledger, requests.back(), Time(std::chrono::seconds(1)));
                if (*rc::gen::arbitrary<bool>())
                    markRunning(ledger, requests.back());
            }
            for (const InFlightRequest &request : requests)
                removeInFlightRequest(ledger, request);
            RC_ASSERT(ownDigest(ledger).empty());
            for (const auto &[target, entry] : ledger.targets)
                RC_ASSERT(entry.own.waitingTokens[0] + entry.own.waitingTokens[1] < 0.01);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that a digest counts until the next one, an empty one or its expiry. Guards against
    // load of a silent daemon that blocks targets forever, and against digests that add up instead
    // of replacing each other.
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
