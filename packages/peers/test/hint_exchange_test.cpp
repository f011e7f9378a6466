#include "peers/hint_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace chervilfield::peers {

using std::chrono::milliseconds;

class HintExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HintExchangeTest);
    CPPUNIT_TEST(budgetBoundsBytesAndReachesAllLocalMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that hints stay within the bandwidth limit and reach every daemon of the same data
    // centre. Guards against hints that exceed the control bandwidth of a daemon in the largest
    // deployment, and against a fixed order in which some daemons never receive any.
    void budgetBoundsBytesAndReachesAllLocalMembers()
    {
        struct Row
        {
            std::string name;
            std::size_t members;
            std::size_t localMembers; ///< Members in the data centre of the sender.
        };
        const Row rows[] = {
            { "small deployment", 6, 2 },
            { "one data centre of 36 daemons", 36, 36 },
            { "largest deployment", 360, 36 },
        };
        constexpr int kSeconds = 20;
        for (const Row &row : rows) {
            std::map<std::string, std::size_t> received;
            double bytes = 0;
            HintExchange exchange("entry-0", "leon",
                                  [&](const std::string &to, const Datagram &datagram) {
                                      ++received[to];
                                      bytes += static_cast<double>(peers::encode(datagram)->size());
                                  });
            const auto members = makeMembers(row.members, row.localMembers);
            HintExchange::Clock::time_point now{ std::chrono::hours(1) };
            for (int tick = 0; tick < kSeconds * 10; ++tick) {
                now += milliseconds(100);
                exchange.send(members, makeHints(static_cast<std::uint64_t>(tick)), now);
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, bytes <= 4000.0 * (kSeconds + 1));
            for (std::size_t i = 1; i < row.localMembers; ++i) {
                CPPUNIT_ASSERT_MESSAGE(row.name, received["entry-" + std::to_string(i)] > 0);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(0), received["entry-0"]);
        }
    }

private:
    static std::vector<membership::Member> makeMembers(std::size_t count, std::size_t localMembers)
    {
        std::vector<membership::Member> members;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            members.push_back({ .name = name,
                                .peerAddress = name,
                                .dataCentre = i < localMembers ? "leon" : "silao" });
        }
        return members;
    }

    static PlacementHints makeHints(std::uint64_t seed)
    {
        PlacementHints hints;
        for (std::uint64_t i = 0; i < 8; ++i)
            hints.hints.push_back({ .prefix = ~(seed * 8 + i), .target = ~seed, .life = seed });
        return hints;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HintExchangeTest);

} // namespace chervilfield::peers
