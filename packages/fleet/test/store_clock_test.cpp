#include "fleet/store_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace chervilfield::fleet {

using std::chrono::hours;
using std::chrono::milliseconds;

class StoreClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClockTest);
    CPPUNIT_TEST(responsesAreDatedBeforeTheyWereMade);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change that counts as younger than it is, because the response that carries
    // it was read late or the two clocks do not agree any more.
    void responsesAreDatedBeforeTheyWereMade()
    {
        struct Response
        {
            milliseconds sentAfter; ///< Since the response before, at which the request is sent.
            milliseconds waited;    ///< Time from the request until the response is made.
            milliseconds held;      ///< Time from then until it is received.
            milliseconds jump;      ///< Change of the store's clock before the response.
            milliseconds maxError;  ///< Maximum time by which the result is too early.
        };
        struct Case
        {
            std::string name;
            std::vector<Response> responses;
        };
        const milliseconds none{ 0 };
        const milliseconds ms{ 1 };
        const Response quick{ ms * 100, ms * 4, ms * 4, none, ms * 6 };
        const Case cases[] = {
            { "first response", { quick } },
            { "long poll", { quick, { ms * 100, ms * 700, ms * 4, none, ms * 6 } } },
            { "read after a stop", { quick, { ms * 100, ms * 4, ms * 6000, none, ms * 6 } } },
            { "store's clock jumps ahead",
              { quick, { ms * 100, ms * 4, ms * 4, hours(1), ms * 6 }, quick } },
            { "store's clock jumps back",
              { quick, { ms * 100, ms * 4, ms * 4, -hours(1), ms * 6 }, quick } },
            { "drift while the store is not polled",
              { quick, { hours(24), ms * 700, ms * 4, ms * 8640, ms * 701 } } },
            { "quick responses of the period before count",
              { quick, { ms * 61'000, ms * 700, ms * 4, none, ms * 6 } } },
        };
        for (const Case &each : cases) {
            StoreClock clock;
            StoreClock::TimePoint now{ hours(10) };
            milliseconds offset = hours(1000);
            for (const Response &response : each.responses) {
                offset += response.jump;
                const auto sentAt = now + response.sentAfter;
                const auto madeAt = sentAt + response.waited;
                now = madeAt + response.held;
                const auto storeTime =
                        std::chrono::duration_cast<milliseconds>(madeAt.time_since_epoch())
                        + offset;
                const auto dated = clock.observe(storeTime, sentAt, now);
                CPPUNIT_ASSERT_MESSAGE(each.name, dated <= madeAt);
                CPPUNIT_ASSERT_MESSAGE(each.name, dated >= madeAt - response.maxError);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);

} // namespace chervilfield::fleet
