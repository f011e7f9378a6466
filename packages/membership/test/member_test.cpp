#include "membership/member.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::membership {

namespace {

Member makeMember(std::uint64_t life, std::uint32_t incarnation, MemberState state)
{
    Member member;
    member.name = "a";
    member.life = life;
    member.incarnation = incarnation;
    member.state = state;
    return member;
}

} // namespace

class MemberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTest);
    CPPUNIT_TEST(precedence);
    CPPUNIT_TEST(orderOfClaimsDoesNotMatter);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which of two claims about a member supersedes the other. Guards against a claim about
    // an earlier life or incarnation that replaces a later one.
    void precedence()
    {
        using enum MemberState;
        struct Row
        {
            const char *name;
            Member update;
            Member current;
            bool expected;
        };
        const Row rows[] = {
            { "suspect over alive", makeMember(1, 0, Suspect), makeMember(1, 0, Alive), true },
            { "alive refutes suspect", makeMember(1, 1, Alive), makeMember(1, 0, Suspect), true },
            { "alive does not refute at the same incarnation", makeMember(1, 0, Alive),
              makeMember(1, 0, Suspect), false },
            { "alive refutes dead", makeMember(1, 1, Alive), makeMember(1, 0, Dead), true },
            { "suspicion does not undo leaving", makeMember(1, 1, Suspect),
              makeMember(1, 1, Leaving), false },
            { "dead over leaving", makeMember(1, 1, Dead), makeMember(1, 1, Leaving), true },
            { "new life over dead", makeMember(2, 0, Alive), makeMember(1, 9, Dead), true },
            { "old life never", makeMember(1, 9, Dead), makeMember(2, 0, Alive), false },
            { "equal claims", makeMember(1, 0, Alive), makeMember(1, 0, Alive), false },
        };
        for (const Row &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                         supersedes(row.update, row.current));
        }
    }

    // Tests that the order of claims is total and transitive. Guards against tables that differ
    // because datagrams arrived in a different order.
    void orderOfClaimsDoesNotMatter()
    {
        const bool holds = rc::check("the order of claims is total", [] {
            const auto claim = [] {
                return makeMember(*rc::gen::inRange<std::uint64_t>(0, 3),
                                  *rc::gen::inRange<std::uint32_t>(0, 3),
                                  static_cast<MemberState>(*rc::gen::inRange(0, 4)));
            };
            const Member a = claim();
            const Member b = claim();
            const Member c = claim();
            RC_ASSERT(static_cast<int>(supersedes(a, b)) + static_cast<int>(supersedes(b, a))
                              + static_cast<int>(a == b)
                      == 1);
            RC_ASSERT(!(supersedes(a, b) && supersedes(b, c)) || supersedes(a, c));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

} // namespace chervilfield::membership
