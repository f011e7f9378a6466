#include "base/hybrid_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::base {

class HybridClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HybridClockTest);
    CPPUNIT_TEST(stampsGrowUnderSkew);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that a merged timestamp is later than both of its inputs. Guards against a time line in
    // which an effect precedes its cause because the clocks of two instances differ.
    void stampsGrowUnderSkew()
    {
        const bool holds = rc::check("merge is later than both stamps", [] {
            const HybridTime last{ *rc::gen::inRange<std::int64_t>(0, 1000),
                                   *rc::gen::inRange<std::uint32_t>(0, 10) };
            const HybridTime remote{ *rc::gen::inRange<std::int64_t>(0, 1000),
                                     *rc::gen::inRange<std::uint32_t>(0, 10) };
            const std::chrono::system_clock::time_point now(
                    std::chrono::milliseconds(*rc::gen::inRange(0, 1000)));
            const HybridTime merged = merge(last, remote, now);
            RC_ASSERT(merged > last);
            RC_ASSERT(merged > remote);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HybridClockTest);

} // namespace chervilfield::base
