#include "control/member_actor.h"

#include "peers/udp_transport.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

namespace chervilfield::control {

namespace asio = boost::asio;
using membership::MemberState;
using namespace std::chrono_literals;

namespace {

// Member actor of a daemon on a loopback UDP port, without table exchanges.
struct Peer
{
    Peer(ControlSystem &system, asio::io_context &context, const std::string &name)
        : transport(context, [this](const net::Address &from, const peers::Datagram &datagram) {
              if (!isSilent)
                  actor->receive(net::toString(from), std::get<membership::Packet>(datagram));
          })
    {
        std::error_code error;
        transport.open({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT(!error);
        MemberActorOptions options;
        options.self = { .name = name, .peerAddress = address(), .life = 1 };
        options.protocol = membership::optionsFor(200ms);
        options.randomSeed = transport.localAddress().port;
        options.send = [this](const std::string &to, const membership::Packet &packet) {
            if (!isSilent)
                transport.send(*net::parseAddress(to), packet);
        };
        options.revisionSeen = [this](std::uint64_t revision, const std::string &) {
            highestRevision = revision;
        };
        actor = std::make_unique<MemberActor>(system, std::move(options));
    }

    std::string address() const { return net::toString(transport.localAddress()); }

    bool sees(const std::string &name, MemberState state) const
    {
        const MemberSnapshotPtr snapshot = actor->snapshot();
        const auto found = std::ranges::find(snapshot->members, name, &membership::Member::name);
        return found != snapshot->members.end() && found->state == state;
    }

    peers::UdpTransport transport;
    std::unique_ptr<MemberActor> actor;
    std::atomic<std::uint64_t> highestRevision{ 0 };
    std::atomic<bool> isSilent{
        false
    }; ///< True if it neither sends nor receives, like an exited process.
};

bool waitUntil(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace

class MemberActorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberActorTest);
    CPPUNIT_TEST(membersJoinLeaveAndDie);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that three members find each other, and that the snapshots show a leaving and a dead
    // member. Guards against an actor that stops scheduling its timer, and against snapshots that
    // do not follow the member table.
    void membersJoinLeaveAndDie()
    {
        asio::io_context context;
        ControlSystem system;
        Peer a(system, context, "a");
        Peer b(system, context, "b");
        Peer c(system, context, "c");
        auto work = asio::make_work_guard(context);
        std::thread thread([&context] { context.run(); });

        a.actor->setRevision(7);
        b.actor->setSeeds({ a.address() });
        c.actor->setSeeds({ a.address() });
        const bool joined = waitUntil([&] {
            return b.sees("c", MemberState::Alive) && c.sees("b", MemberState::Alive)
                   && a.sees("c", MemberState::Alive) && b.highestRevision == 7;
        });
        b.actor->leave();
        const bool left = waitUntil([&] {
            return a.sees("b", MemberState::Leaving) && c.sees("b", MemberState::Leaving);
        });
        c.isSilent = true;
        const bool died = waitUntil([&] { return a.sees("c", MemberState::Dead); });

        work.reset();
        context.stop();
        thread.join();
        CPPUNIT_ASSERT(joined);
        CPPUNIT_ASSERT(left);
        CPPUNIT_ASSERT(died);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberActorTest);

} // namespace chervilfield::control
