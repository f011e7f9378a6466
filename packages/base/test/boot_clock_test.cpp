#include "base/boot_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace chervilfield::base {

class BootClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BootClockTest);
    CPPUNIT_TEST(includesSuspendedTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the clock never runs behind the steady clock, which stops during a suspension.
    void includesSuspendedTime()
    {
        auto last = BootClock::now();
        for (int i = 0; i < 1000; ++i) {
            const auto steady = std::chrono::steady_clock::now().time_since_epoch();
            const auto boot = BootClock::now();
            CPPUNIT_ASSERT(boot.time_since_epoch() >= steady);
            CPPUNIT_ASSERT(boot >= last);
            last = boot;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BootClockTest);

} // namespace chervilfield::base
