#include "scheduling/urgency.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

namespace chervilfield::scheduling {

namespace {

struct Row
{
    std::string name;
    ScheduledRequest request;
    int urgency;
};

rc::Gen<ScheduledRequest> anyRequest()
{
    return rc::gen::build<ScheduledRequest>(
            rc::gen::set(&ScheduledRequest::priority, rc::gen::inRange(0, 12)),
            rc::gen::set(&ScheduledRequest::promptTokens,
                         rc::gen::map(rc::gen::inRange(0, 100'000),
                                      [](int tokens) { return static_cast<double>(tokens); })),
            rc::gen::set(&ScheduledRequest::hasStarted));
}

} // namespace

class UrgencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UrgencyTest);
    CPPUNIT_TEST(levels);
    CPPUNIT_TEST(orderIsLexicographic);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against long prompts that are admitted before short ones of the same priority, and
    // against levels outside of the range that engines accept.
    void levels()
    {
        const std::vector<Row> rows{
            { "short, highest priority", { .priority = 0, .promptTokens = 383 }, 1 },
            { "plain service", { .priority = 0, .promptTokens = 0 }, 1 },
            { "at the threshold", { .priority = 0, .promptTokens = 2048 }, 1 },
            { "above the threshold", { .priority = 0, .promptTokens = 2049 }, 2 },
            { "begun, highest priority", { .priority = 0, .hasStarted = true }, 0 },
            { "short, priority 1", { .priority = 1, .promptTokens = 383 }, 3 },
            { "long, priority 1", { .priority = 1, .promptTokens = 17'020 }, 4 },
            { "long and begun, priority 1",
              { .priority = 1, .promptTokens = 17'020, .hasStarted = true },
              3 },
            { "long, priority 2", { .priority = 2, .promptTokens = 17'020 }, 6 },
            { "short, priority 4", { .priority = 4, .promptTokens = 383 }, 9 },
            { "long, priority 4", { .priority = 4, .promptTokens = 17'020 }, 9 },
            { "negative priority", { .priority = -3, .promptTokens = 383 }, 1 },
            { "least priority", { .priority = std::numeric_limits<int>::max() }, 9 },
            { "smallest number", { .priority = std::numeric_limits<int>::min() }, 1 },
            { "length that is not a number",
              { .promptTokens = std::numeric_limits<double>::quiet_NaN() },
              1 },
        };
        for (const Row &row : rows)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.urgency, engineUrgency(row.request));
    }

    // Guards against a less urgent customer's requests that precede those of a more urgent one.
    void orderIsLexicographic()
    {
        CPPUNIT_ASSERT(rc::check("order of levels", [] {
            const ScheduledRequest a = *anyRequest();
            ScheduledRequest b = *anyRequest();
            const int urgency = engineUrgency(a);
            RC_ASSERT(urgency >= 0 && urgency <= kMaxUrgency);
            // All priorities from the fifth on share one level.
            constexpr int kPrioritiesWithTwoLevels = 4;
            if (a.priority < b.priority && a.priority < kPrioritiesWithTwoLevels)
                RC_ASSERT(urgency <= engineUrgency(b));
            const bool hasTwoLevels = a.priority < kPrioritiesWithTwoLevels;
            b.hasStarted = a.hasStarted;
            if (a.priority < b.priority && hasTwoLevels)
                RC_ASSERT(urgency < engineUrgency(b));
            b.priority = a.priority;
            if (!isLong(a) && isLong(b) && hasTwoLevels)
                RC_ASSERT(urgency < engineUrgency(b));
            ScheduledRequest started = a;
            started.hasStarted = true;
            ScheduledRequest fresh = a;
            fresh.hasStarted = false;
            RC_ASSERT(engineUrgency(started) < engineUrgency(fresh));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgencyTest);

} // namespace chervilfield::scheduling
