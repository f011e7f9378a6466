#include "streams/watchdog.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::streams {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class WatchdogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchdogTest);
    CPPUNIT_TEST(deadlineFollowsExpectation);
    CPPUNIT_TEST(suspendedTimeDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

    static SteadyTime at(int ms) { return SteadyTime() + milliseconds(ms); }

public:
    // Tests that the deadline is a multiple of the expected delay, within limits. Guards against
    // abandoning a long prompt too early or a silent connection too late.
    void deadlineFollowsExpectation()
    {
        struct Row
        {
            microseconds expected;
            bool hasToken;
            milliseconds deadline;
        };
        const Row rows[] = {
            { milliseconds(0), false, milliseconds(500) },
            { milliseconds(300), false, milliseconds(1200) },
            { milliseconds(100'000), false, milliseconds(60'000) },
            { microseconds::max(), false, milliseconds(60'000) },
            { milliseconds(0), true, milliseconds(400) },
            { milliseconds(200), true, milliseconds(800) },
            { microseconds::max(), true, milliseconds(5000) },
        };
        for (const Row &row : rows) {
            const ProgressExpectation expectation{ row.expected, row.expected };
            Progress progress = startProgress(at(0));
            if (row.hasToken)
                recordToken(progress, at(0));
            const SteadyTime due = SteadyTime() + row.deadline;
            CPPUNIT_ASSERT(progressDeadline(progress, expectation, {}) == due);
            CPPUNIT_ASSERT(checkProgress(progress, expectation, {}, due - microseconds(1))
                           == ProgressStatus::OnTime);
            CPPUNIT_ASSERT(checkProgress(progress, expectation, {}, due)
                           == (row.hasToken ? ProgressStatus::NextTokenLate
                                            : ProgressStatus::FirstTokenLate));
        }
    }

    // Tests that the time of a suspension does not count as delay. Guards against abandoning an
    // engine because the caller does not read.
    void suspendedTimeDoesNotCount()
    {
        Progress progress = startProgress(at(0));
        recordToken(progress, at(10));
        suspendProgress(progress, at(110));
        CPPUNIT_ASSERT(!progressDeadline(progress, {}, {}));
        CPPUNIT_ASSERT(checkProgress(progress, {}, {}, at(100'000)) == ProgressStatus::OnTime);
        resumeProgress(progress, at(5110));
        CPPUNIT_ASSERT(progressDeadline(progress, {}, {}) == at(5410));
        recordToken(progress, at(5200));
        CPPUNIT_ASSERT(progressDeadline(progress, {}, {}) == at(5600));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchdogTest);

} // namespace chervilfield::streams
