#include "entry/peer_mesh.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace chervilfield::entry {

using membership::Member;
using membership::MemberState;

class PeerMeshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerMeshTest);
    CPPUNIT_TEST(followersHaveTheWidestLinks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against followers whose narrow links delay each change at all other instances.
    void followersHaveTheWidestLinks()
    {
        struct Row
        {
            std::string name;
            std::vector<Member> members;
            std::set<std::string> expected; ///< Empty if each instance follows the store.
        };
        const auto member = [](const std::string &name, std::uint32_t linkMbps,
                               MemberState state = MemberState::Alive) {
            return Member{ .name = name, .state = state, .linkMbps = linkMbps };
        };
        const Row rows[] = {
            { "two members", { member("a", 10), member("b", 10) }, {} },
            { "wide links",
              { member("a", 10), member("b", 200), member("c", 10), member("d", 200) },
              { "b", "d" } },
            { "unknown links last",
              { member("a", 0), member("b", 10), member("c", 10) },
              { "b", "c" } },
            { "leaving",
              { member("a", 10), member("b", 200, MemberState::Leaving), member("c", 10),
                member("d", 200), member("e", 20) },
              { "d", "e" } },
            { "dead",
              { member("a", 10), member("b", 200, MemberState::Dead), member("c", 20) },
              {} },
        };
        for (const Row &row : rows) {
            std::vector<Member> members = row.members;
            for (int order = 0; order < 2; ++order) {
                std::set<std::string> names;
                for (const Member &follower : chooseFollowers(members))
                    names.insert(follower.name);
                CPPUNIT_ASSERT_MESSAGE(row.name, names == row.expected);
                std::ranges::reverse(members);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMeshTest);

} // namespace chervilfield::entry
