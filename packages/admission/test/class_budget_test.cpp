#include "admission/class_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace chervilfield::admission {

class ClassBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClassBudgetTest);
    CPPUNIT_TEST(separatesClasses);
    CPPUNIT_TEST(balancesReservations);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against short work that waits behind long work, and against a request larger than the
    // whole budget that could never run.
    void separatesClasses()
    {
        struct Row
        {
            const char *name;
            int runningShort;
            int runningLong;
            WorkClass workClass;
            std::uint64_t tokens;
            bool fits;
        };
        // 10 places and 1000 tokens, half each; requests already running hold 50 tokens each.
        const Row rows[] = {
            { "idle", 0, 0, WorkClass::Long, 500, true },
            { "oversized on an idle class", 0, 0, WorkClass::Long, 5000, true },
            { "oversized on a busy class", 0, 1, WorkClass::Long, 5000, false },
            { "long places are used up", 0, 5, WorkClass::Long, 1, false },
            { "long never borrows", 0, 4, WorkClass::Long, 301, false },
            { "short has its places while long is full", 4, 5, WorkClass::Short, 300, true },
            { "short borrows half of the idle long places", 6, 0, WorkClass::Short, 50, true },
            { "long work cannot use what is borrowed", 7, 3, WorkClass::Long, 1, false },
            { "the other half stays free for long work", 7, 0, WorkClass::Short, 50, false },
        };
        for (const Row &row : rows) {
            TargetBudget budget;
            setLimits(budget, { 10, 1000 }, {});
            budget.usage[0] = { static_cast<std::uint32_t>(row.runningShort),
                                50ULL * row.runningShort };
            budget.usage[1] = { static_cast<std::uint32_t>(row.runningLong),
                                50ULL * row.runningLong };
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, static_cast<bool>(row.fits),
                                         canReserve(budget, row.workClass, row.tokens));
        }
    }

    // Guards against places or tokens that leak, which would close a target after a while.
    void balancesReservations()
    {
        const bool holds = rc::check("released work leaves nothing behind", [] {
            struct Held
            {
                WorkClass workClass;
                std::uint64_t tokens;
            };
            constexpr std::uint64_t kMostTokens = 60;
            TargetBudget budget;
            setLimits(budget,
                      { *rc::gen::inRange(0U, 15U), *rc::gen::inRange<std::uint64_t>(0, 600) },
                      { *rc::gen::inRange(0, 101) / 100.0, *rc::gen::inRange(0, 101) / 100.0 });
            const std::uint64_t mostTokens =
                    budget.limits[0].prefillTokens + budget.limits[1].prefillTokens;
            const std::uint32_t most = budget.limits[0].concurrency + budget.limits[1].concurrency;
            std::vector<Held> held;
            for (int i = 0; i < 100; ++i) {
                const Held work{ *rc::gen::element(WorkClass::Short, WorkClass::Long),
                                 *rc::gen::inRange<std::uint64_t>(0, kMostTokens) };
                if (tryReserve(budget, work.workClass, work.tokens))
                    held.push_back(work);
                RC_ASSERT(budget.usage[0].running + budget.usage[1].running <= most);
                RC_ASSERT(budget.usage[1].running <= budget.limits[1].concurrency);
                // An idle class accepts one request of any size.
                RC_ASSERT(budget.usage[0].prefillTokens + budget.usage[1].prefillTokens
                          <= mostTokens + 2 * kMostTokens);
            }
            for (const Held &work : held) {
                finishPrefill(budget, work.workClass, work.tokens);
                release(budget, work.workClass);
            }
            for (const ClassUsage &usage : budget.usage)
                RC_ASSERT(usage.running == 0U && usage.prefillTokens == 0U);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClassBudgetTest);

} // namespace chervilfield::admission
