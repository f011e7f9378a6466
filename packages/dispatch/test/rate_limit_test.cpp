#include "dispatch/rate_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::dispatch {

using Clock = base::BootClock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Clock::time_point kStart{ std::chrono::hours(1) };

struct ShareRow
{
    std::string name;
    double limit; ///< Requests per second of all instances.
    std::size_t instances;
    milliseconds pause; ///< Time without requests before each instance sends all that it may.
};

// Returns the times at which all instances send if each sends as soon as it may, after a pause.
std::vector<Clock::time_point> sendTimes(const ShareRow &row, milliseconds duration)
{
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> transitMs(0, 200);
    std::vector<Clock::time_point> times;
    for (std::size_t i = 0; i < row.instances; ++i) {
        const InstanceShare share{ .instances = row.instances, .index = i };
        RateLimit limit;
        stateLimit(limit, row.limit, share, kStart + milliseconds(transitMs(random)));
        auto now = kStart + row.pause;
        while (true) {
            now = nextSendTime(limit, share, now);
            if (now >= kStart + row.pause + duration)
                break;
            times.push_back(now);
            takePermit(limit, share, now);
        }
    }
    std::ranges::sort(times);
    return times;
}

} // namespace

class RateLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitTest);
    CPPUNIT_TEST(instancesTogetherStayWithinTheLimit);
    CPPUNIT_TEST(shareFollowsTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that send at once what they have not sent during a pause.
    void instancesTogetherStayWithinTheLimit()
    {
        const ShareRow rows[] = {
            { "one instance", 10, 1, seconds(0) },
            { "one instance, pause", 10, 1, seconds(60) },
            { "small deployment", 9.4, 7, seconds(0) },
            { "small deployment, pause", 9.4, 7, seconds(60) },
            { "less than one a second", 0.5, 7, seconds(60) },
            { "many instances", 4, 74, seconds(0) },
            { "many instances, pause", 4, 74, seconds(60) },
            { "many instances, high limit", 100, 360, seconds(60) },
        };
        for (const ShareRow &row : rows) {
            constexpr seconds kWindow{ 4 };
            constexpr seconds kDuration{ 40 };
            const auto times = sendTimes(row, kDuration);
            const auto maxInWindow = static_cast<std::ptrdiff_t>(1.5 * row.limit * 4 + 5);
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto last = std::lower_bound(first, times.end(), *first + kWindow);
                CPPUNIT_ASSERT_MESSAGE(row.name, last - first <= maxInWindow);
            }
            const double allowed = row.limit * static_cast<double>(kDuration.count());
            CPPUNIT_ASSERT_MESSAGE(row.name, static_cast<double>(times.size()) > 0.8 * allowed);
        }
    }

    // Guards against a share that stays small after the limit is raised or has ended.
    void shareFollowsTheLimit()
    {
        constexpr InstanceShare kShare{ .instances = 10, .index = 5 };
        RateLimit limit;
        CPPUNIT_ASSERT(nextSendTime(limit, kShare, kStart) == kStart);
        stateLimit(limit, 1, kShare, kStart);
        CPPUNIT_ASSERT(nextSendTime(limit, kShare, kStart) == kStart + seconds(5));
        stateLimit(limit, 1, kShare, kStart + seconds(1));
        CPPUNIT_ASSERT(nextSendTime(limit, kShare, kStart) == kStart + seconds(5));
        stateLimit(limit, 100, kShare, kStart + seconds(2));
        CPPUNIT_ASSERT(nextSendTime(limit, kShare, kStart) == kStart + milliseconds(2100));
        stateLimit(limit, 0, kShare, kStart + seconds(3));
        CPPUNIT_ASSERT(nextSendTime(limit, kShare, kStart + seconds(3)) < kStart + seconds(200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

} // namespace chervilfield::dispatch
