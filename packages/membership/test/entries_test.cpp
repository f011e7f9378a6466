#include "membership/entries.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace chervilfield::membership {

class EntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntriesTest);
    CPPUNIT_TEST(preferenceOrder);
    CPPUNIT_TEST(callersAreSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that entries are ordered by preference and exclude leaving and dead members. Guards
    // against callers that are sent to a leaving member or to another data centre than their own.
    void preferenceOrder()
    {
        using enum MemberState;
        struct Row
        {
            const char *name;
            std::vector<std::pair<const char *, MemberState>> members;
            std::vector<std::string> dataCentres;
        };
        const Row rows[] = {
            { "no member", {}, {} },
            { "own first", { { "b", Alive }, { "a", Alive } }, { "a", "b" } },
            { "leaving and dead excluded",
              { { "a", Leaving }, { "a", Dead }, { "b", Alive } },
              { "b" } },
            { "suspect last", { { "a", Suspect }, { "b", Alive } }, { "b", "a" } },
            { "entries reserved for others",
              { { "a", Alive }, { "a", Alive }, { "a", Alive }, { "a", Alive }, { "b", Alive } },
              { "a", "a", "a", "b" } },
        };
        for (const Row &row : rows) {
            std::vector<Member> members;
            for (const auto &[dataCentre, state] : row.members) {
                Member member;
                member.name = std::to_string(members.size());
                member.dataCentre = dataCentre;
                member.state = state;
                members.push_back(member);
            }
            std::vector<std::string> dataCentres;
            for (const EntryAddress &entry :
                 entryAddresses(members, "a", 1, { .maxEntries = 4, .reservedRemoteEntries = 1 }))
                dataCentres.push_back(entry.dataCentre);
            CPPUNIT_ASSERT_MESSAGE(row.name, row.dataCentres == dataCentres);
        }
    }

    // Tests that the first entry differs between callers and is stable for one caller. Guards
    // against all callers connecting to the same member.
    void callersAreSpread()
    {
        std::vector<Member> members(10);
        for (std::size_t i = 0; i < members.size(); ++i) {
            members[i].name = "instance-" + std::to_string(i);
            members[i].callerAddress = members[i].name;
        }
        std::map<std::string, int> first;
        constexpr int kCallers = 1000;
        for (std::uint64_t caller = 0; caller < kCallers; ++caller)
            ++first[entryAddresses(members, "", caller).front().address];
        CPPUNIT_ASSERT_EQUAL(members.size(), first.size());
        for (const auto &[address, count] : first)
            CPPUNIT_ASSERT_MESSAGE(address + " " + std::to_string(count), count < 150);
        CPPUNIT_ASSERT(entryAddresses(members, "", 5) == entryAddresses(members, "", 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntriesTest);

} // namespace chervilfield::membership
