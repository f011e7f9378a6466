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
    // Guards against asking an engine life that no longer knows the request, and against repeating
    // or skipping the token after the last one received.
    void repeatedRequestContinues()
    {
        struct Row
        {
            std::string lastEventId;
            std::optional<std::string> liveLife;
            std::optional<ResumePoint> expected;
        };
        const Row rows[] = {
            { "r/e/1/4", "1", ResumePoint{ ResumeKind::Reattach, "e", 5 } },
            { "r/e/1/4", "2", ResumePoint{ ResumeKind::Continue, "", 5 } },
            { "r/e/1/4", std::nullopt, ResumePoint{ ResumeKind::Continue, "", 5 } },
            { "s/e/1/4", "1", std::nullopt },
            { "r/e/1/x", "1", std::nullopt },
        };
        for (const Row &row : rows) {
            std::error_code error;
            CPPUNIT_ASSERT(resumeFromEventId(row.lastEventId, "r", row.liveLife, error)
                           == row.expected);
            CPPUNIT_ASSERT_EQUAL(!row.expected, static_cast<bool>(error));
        }
    }

    // Guards against generating again what is buffered but not yet delivered.
    void lostAttemptContinues()
    {
        Relay relay(0);
        const std::size_t attempt = relay.startAttempt("e", "1");
        CPPUNIT_ASSERT(resumeAfterLoss(relay, attempt, "2")
                       == (ResumePoint{ ResumeKind::Start, "", 0 }));
        relay.accept(attempt, 0, "a");
        relay.accept(attempt, 1, "b");
        relay.take(1);
        CPPUNIT_ASSERT(resumeAfterLoss(relay, attempt, "1")
                       == (ResumePoint{ ResumeKind::Reattach, "e", 2 }));
        CPPUNIT_ASSERT(resumeAfterLoss(relay, attempt, std::nullopt)
                       == (ResumePoint{ ResumeKind::Continue, "", 2 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumeTest);

} // namespace chervilfield::streams
