#include "prefix/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace chervilfield::prefix {

class RendezvousTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousTest);
    CPPUNIT_TEST(removalMovesOnlyTheRemovedNode);
    CPPUNIT_TEST(keysSpreadEvenly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the highest scores do not depend on the order of nodes or on other nodes. Guards
    // against daemons that disagree on homes, and against a lost node that changes the homes of
    // keys it did not serve.
    void removalMovesOnlyTheRemovedNode()
    {
        const bool holds = rc::check("the highest scores ignore order and absent nodes", [] {
            const auto key = *rc::gen::arbitrary<std::uint64_t>();
            auto nodes = *rc::gen::unique<std::vector<std::uint64_t>>(
                    rc::gen::arbitrary<std::uint64_t>());
            RC_PRE(nodes.size() > 2U);
            auto reversed = nodes;
            std::ranges::reverse(reversed);
            const auto best = highestScores(key, nodes, 2);
            const auto other = highestScores(key, reversed, 2);
            RC_ASSERT(std::ranges::equal(best, other));

            std::vector<std::uint64_t> fewer(nodes.begin() + 1, nodes.end());
            RC_ASSERT(highestScores(key, fewer, 1)[0] == best[1]);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that each node is first for about the same number of keys. Guards against a biased
    // score that overloads some nodes.
    void keysSpreadEvenly()
    {
        constexpr std::size_t kNodes = 9;
        constexpr std::size_t kKeys = 9000;
        std::vector<std::size_t> counts(kNodes);
        for (std::uint64_t key = 0; key < kKeys; ++key) {
            std::vector<std::uint64_t> nodes(kNodes);
            for (std::size_t i = 0; i < kNodes; ++i)
                nodes[i] = i;
            ++counts[highestScores(key, nodes, 1)[0]];
        }
        const auto [minCount, maxCount] = std::ranges::minmax(counts);
        // Mean 1000, standard deviation about 30.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(minCount), minCount > 850);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(maxCount), maxCount < 1150);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

} // namespace chervilfield::prefix
