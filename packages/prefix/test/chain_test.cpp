#include "prefix/chain.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace chervilfield::prefix {

class ChainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChainTest);
    CPPUNIT_TEST(scopesNeverMatch);
    CPPUNIT_TEST(hashesMatchExactlyOnSharedBlocks);
    CPPUNIT_TEST(onlyCompleteBlocksCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that scopes with any different field have different seeds, also if the joined text is
    // the same. Guards against cache hits across customers, models, weights or adapters.
    void scopesNeverMatch()
    {
        const Scope base{ "customer", "model", "1", "" };
        const Scope others[] = {
            { "customes", "model", "1", "" }, { "customer", "mode", "l1", "" },
            { "customer", "model", "2", "" }, { "customer", "model", "", "1" },
            { "model", "customer", "1", "" },
        };
        for (const Scope &other : others) {
            CPPUNIT_ASSERT_MESSAGE(std::string(other.customer) + "/" + std::string(other.model),
                                   chainSeed(base) != chainSeed(other));
        }
    }

    // Tests that chains are equal up to the block with the first different byte. Guards against a
    // chain that matches beyond this block or stops matching before it.
    void hashesMatchExactlyOnSharedBlocks()
    {
        const bool holds = rc::check("chains agree up to the block of the first difference", [] {
            const std::size_t blocks = *rc::gen::inRange<std::size_t>(1, 6);
            const std::size_t changed = *rc::gen::inRange<std::size_t>(0, blocks * kBlockBytes);
            const std::string prompt(blocks * kBlockBytes, 'x');
            std::string other = prompt;
            other[changed] = 'y';
            const auto chain = blockChain(prompt, 7);
            const auto otherChain = blockChain(other, 7);
            for (std::size_t i = 0; i < blocks; ++i)
                RC_ASSERT((chain[i] == otherChain[i]) == (i < changed / kBlockBytes));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests the chain length for prompts around a block boundary. Guards against an incomplete
    // block that is counted as cached.
    void onlyCompleteBlocksCount()
    {
        struct Row
        {
            std::size_t bytes;
            std::size_t blocks;
        };
        const Row rows[] = {
            { 0, 0 }, { kBlockBytes - 1, 0 }, { kBlockBytes, 1 }, { 3 * kBlockBytes + 5, 3 }
        };
        for (const Row &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.bytes) + " bytes", row.blocks,
                                         blockChain(std::string(row.bytes, 'x'), 0).size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChainTest);

} // namespace chervilfield::prefix
