#include "streams/resume.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::streams {

class ResumeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumeTest);
    CPPUNIT_TEST(repeatedRequestContinues);
    CPPUNIT_TEST(lostAttemptContinues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests how a request that is repeated with `Last-Event-ID` continues. Guards against
    // reattaching to a restarted engine, which no longer knows the request, and against repeating
    // or skipping the token after the last one received.
    void repeatedRequestContinues()
    {
        struct Row
        {
            std::string lastEventId;
            std::optional<std::string> currentLife;
            std::optional<ResumePlan> expected;
        };
        const Row rows[] = {
            { "r/e/1/4", "1", ResumePlan{ ResumeKind::Reattach, "e", 5 } },
            { "r/e/1/4", "2", ResumePlan{ ResumeKind::Continue, "", 5 } },
            { "r/e/1/4", std::nullopt, ResumePlan{ ResumeKind::Continue, "", 5 } },
            { "s/e/1/4", "1", std::nullopt },
            { "r/e/1/x", "1", std::nullopt },
        };
        for (const Row &row : rows) {
            std::error_code error;
            CPPUNIT_ASSERT(resumeFromEventId(row.lastEventId, "r", row.currentLife, error)
                           == row.expected);
            CPPUNIT_ASSERT_EQUAL(!row.expected, static_cast<bool>(error));
        }
    }

    // Tests how a stream continues after its attempt has stopped. Guards against generating tokens
    // again that are buffered but not yet delivered.
    void lostAttemptContinues()
    {
        StreamAssembler assembler(0);
        const std::size_t attempt = assembler.startAttempt("e", "1");
        CPPUNIT_ASSERT(resumeAfterLoss(assembler, attempt, "2")
                       == (ResumePlan{ ResumeKind::Start, "", 0 }));
        assembler.accept(attempt, 0, "a");
        assembler.accept(attempt, 1, "b");
        assembler.take(1);
        CPPUNIT_ASSERT(resumeAfterLoss(assembler, attempt, "1")
                       == (ResumePlan{ ResumeKind::Reattach, "e", 2 }));
        CPPUNIT_ASSERT(resumeAfterLoss(assembler, attempt, std::nullopt)
                       == (ResumePlan{ ResumeKind::Continue, "", 2 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumeTest);

} // namespace chervilfield::streams
