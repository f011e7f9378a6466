#include "performance/performance_model.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::performance {

class PerformanceModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PerformanceModelTest);
    CPPUNIT_TEST(unknownTargetsAreNeutral);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the figures of a target without observations. Guards against a new target that is
    // preferred or avoided without evidence.
    void unknownTargetsAreNeutral()
    {
        const PerformanceModel model;
        const TargetFigures figures = model.figures("p", 1, 1, 24, Time(std::chrono::hours(1)));
        CPPUNIT_ASSERT_EQUAL(1.0, figures.relativeTime);
        CPPUNIT_ASSERT_EQUAL(0.0, figures.usefulConcurrency);
        CPPUNIT_ASSERT_EQUAL(0.0, figures.confidence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PerformanceModelTest);

} // namespace chervilfield::performance
