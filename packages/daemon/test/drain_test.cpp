#include "daemon/drain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

class DrainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainTest);
    CPPUNIT_TEST(phasesFollowTimeAndRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that `Announcing` ends after its duration and `Finishing` with the last request. Guards
    // against a shutdown that interrupts requests in progress, or that refuses callers whose
    // address list is still valid.
    void phasesFollowTimeAndRequests()
    {
        struct Row
        {
            std::string name;
            milliseconds at;
            std::size_t active;
            DrainPhase expected;
        };
        const Row rows[] = {
            { "callers may still connect", milliseconds(0), 0, DrainPhase::Announcing },
            { "address lists have not expired", milliseconds(99), 0, DrainPhase::Announcing },
            { "address lists have expired", milliseconds(100), 0, DrainPhase::Finishing },
            { "a request is in progress", milliseconds(150), 1, DrainPhase::Finishing },
            { "the last request has finished", milliseconds(200), 0, DrainPhase::Done },
        };
        const Clock::time_point start{};
        Drain drain{ .options = { .announceTime = milliseconds(100),
                                  .finishTimeout = milliseconds(1000) } };
        startDrain(drain, start);
        for (const Row &row : rows) {
            advanceDrain(drain, row.active, start + row.at);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<int>(row.expected),
                                         static_cast<int>(drain.phase));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace chervilfield::daemon
