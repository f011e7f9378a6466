#include "entry/directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chervilfield::entry {

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(instancesOfADataCentreChooseSameAddresses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the instances of a data centre choose the same addresses, and that every instance
    // is chosen for some data centre. Guards against callers that close connections because
    // responses list different instances, and against instances that receive no callers.
    void instancesOfADataCentreChooseSameAddresses()
    {
        struct Row
        {
            std::size_t instances;
            std::size_t maxCount;
            std::size_t chosen;
        };
        const Row rows[] = { { 0, 64, 0 }, { 7, 64, 7 }, { 64, 64, 64 }, { 74, 64, 64 } };
        for (const Row &row : rows) {
            std::vector<net::Address> known;
            for (std::size_t i = 0; i < row.instances; ++i)
                known.push_back({ "10.0.0." + std::to_string(i + 1), 80 });
            std::set<std::string> everChosen;
            for (const std::string dataCentre : { "a", "b", "c", "d" }) {
                const auto first = names(chooseAddresses(known, dataCentre, row.maxCount));
                std::ranges::shuffle(known, std::mt19937_64(1));
                const auto second = names(chooseAddresses(known, dataCentre, row.maxCount));
                CPPUNIT_ASSERT_EQUAL(row.chosen, first.size());
                CPPUNIT_ASSERT(first == second);
                everChosen.insert(first.begin(), first.end());
            }
            CPPUNIT_ASSERT_EQUAL(row.instances, everChosen.size());
        }
    }

private:
    static std::set<std::string> names(const std::vector<net::Address> &addresses)
    {
        std::set<std::string> result;
        for (const net::Address &address : addresses)
            result.insert(toString(address));
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

} // namespace chervilfield::entry
