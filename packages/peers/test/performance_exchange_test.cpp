#include "peers/performance_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace chervilfield::peers {

using std::chrono::milliseconds;

class PerformanceExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PerformanceExchangeTest);
    CPPUNIT_TEST(budgetBoundsBytesAndMembersAreServedAtRandom);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the figures stay within 1 KB/s with headers, go to at most a few members at a time
    // and over time reach all that can take work. Guards against figures that exceed their share of
    // the control traffic, and against members that never learn from others.
    void budgetBoundsBytesAndMembersAreServedAtRandom()
    {
        struct Row
        {
            std::string name;
            std::size_t members;
            std::size_t figures; ///< Per message.
            milliseconds tick;
            std::size_t minReceived; ///< Messages to each other member within the time.
        };
        const Row rows[] = {
            { "three instances, four targets", 3, 4, milliseconds(100), 60 },
            { "90 instances, full messages", 90, kMaxPerformanceFigures, milliseconds(100), 1 },
            { "300 instances, full messages", 300, kMaxPerformanceFigures, milliseconds(100), 0 },
            { "rare calls", 90, 12, milliseconds(700), 1 },
            { "alone", 1, 4, milliseconds(100), 0 },
            { "no figures", 3, 0, milliseconds(100), 0 },
        };
        constexpr std::chrono::seconds kTime(600);
        for (const Row &row : rows) {
            std::map<std::string, std::size_t> received;
            double bytes = 0;
            std::size_t sentAtOnce = 0;
            PerformanceExchange exchange("entry-0", 7,
                                         [&](const std::string &to, const Datagram &datagram) {
                                             ++received[to];
                                             ++sentAtOnce;
                                             const auto encoded = peers::encode(datagram);
                                             bytes += static_cast<double>(encoded->size()) + 28;
                                         });
            auto members = makeMembers(row.members);
            members.push_back({ .name = "dead",
                                .peerAddress = "dead",
                                .state = membership::MemberState::Dead });
            const PerformanceExchange::Clock::time_point start{ std::chrono::hours(1) };
            for (auto now = start; now < start + kTime; now += row.tick) {
                sentAtOnce = 0;
                if (exchange.isDue(now))
                    exchange.send(members, makeFigures(row.figures), now);
                CPPUNIT_ASSERT_MESSAGE(row.name, sentAtOnce <= 3);
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, bytes <= 1000.0 * (kTime.count() + 2));
            for (std::size_t i = 1; i < row.members; ++i) {
                const std::size_t count = received["entry-" + std::to_string(i)];
                CPPUNIT_ASSERT_MESSAGE(row.name + std::to_string(count), count >= row.minReceived);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), received["entry-0"]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), received["dead"]);
        }
    }

private:
    static std::vector<membership::Member> makeMembers(std::size_t count)
    {
        std::vector<membership::Member> members;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            members.push_back({ .name = name, .peerAddress = name, .dataCentre = "leon" });
        }
        return members;
    }

    static PerformanceFigures makeFigures(std::size_t count)
    {
        PerformanceFigures result;
        for (std::uint64_t i = 0; i < count; ++i)
            result.figures.push_back({ .target = ~i, .startedAt = ~i, .weight = 1 });
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PerformanceExchangeTest);

} // namespace chervilfield::peers
