#include "membership/protocol.h"

#include "simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace chervilfield::membership {

using namespace std::chrono_literals;

namespace {

// Returns how many times any daemon declared a member dead.
std::size_t declaredDeaths(const Simulation &simulation)
{
    std::size_t count = 0;
    for (const auto &[address, node] : simulation.nodes)
        count += node.deathsDeclared;
    return count;
}

std::string partitionOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1)) % 2 == 0 ? "even" : "odd";
}

} // namespace

class ProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProtocolTest);
    CPPUNIT_TEST(simultaneousStartsConverge);
    CPPUNIT_TEST(stoppedMemberIsDeclaredDead);
    CPPUNIT_TEST(frozenMemberCausesNoFalseDeaths);
    CPPUNIT_TEST(lossAndDelayCauseNoFalseDeaths);
    CPPUNIT_TEST(leavingIsKnownEverywhereWithinBound);
    CPPUNIT_TEST(partitionHeals);
    CPPUNIT_TEST(newLifeReplacesOld);
    CPPUNIT_TEST(newNameTakesOverAddress);
    CPPUNIT_TEST(backwardClockRaisesLife);
    CPPUNIT_TEST(staleSeedListAddsNoMembers);
    CPPUNIT_TEST(updatesFitIntoDatagram);
    CPPUNIT_TEST(randomFaultsConverge);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that tables converge when all daemons start at the same time. Guards against a restart
    // of all daemons after which some stay unknown to others.
    void simultaneousStartsConverge()
    {
        for (const std::size_t count : { 2U, 10U, 60U, 180U }) {
            Simulation simulation(count);
            simulation.loss = 0.02;
            simulation.startNodes(count);
            const bool converged =
                    simulation.runUntil([&] { return simulation.hasConverged(); }, 15s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " members", converged);
        }
    }

    // Tests that a stopped member is declared dead, and no other member. Guards against a failure
    // detector that never detects a stopped process.
    void stoppedMemberIsDeclaredDead()
    {
        for (const std::size_t count : { 2U, 10U, 60U }) {
            Simulation simulation(7);
            simulation.startNodes(count);
            simulation.run(20s);
            simulation.node(1).running = false;
            const bool found = simulation.runUntil(
                    [&] { return simulation.allSee(MemberState::Dead, 1); }, 60s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " members", found);
            CPPUNIT_ASSERT_EQUAL(count - 1, declaredDeaths(simulation));
        }
    }

    // Tests that a process declares no live member dead after it was stopped or starved. Guards
    // against a process that continues after a stop, finds its timers expired and takes the answers
    // that it has not read for missing.
    void frozenMemberCausesNoFalseDeaths()
    {
        const bool holds = rc::check("a frozen member declares no live member dead", [] {
            Simulation simulation(*rc::gen::arbitrary<std::uint32_t>());
            simulation.startNodes(12);
            simulation.run(15s);
            std::vector<std::string> declaredDead;
            simulation.onChange = [&](const std::string &, const MemberChanged &change) {
                if (change.member.state == MemberState::Dead && change.member.name != "1003")
                    declaredDead.push_back(change.member.name);
            };
            for (int i = 0; i < 3; ++i) {
                // Another member becomes suspect and refutes the claim while the accuser is frozen.
                simulation.freeze(5, 2500ms);
                simulation.run(2200ms);
                simulation.freeze(3, std::chrono::milliseconds(*rc::gen::inRange(100, 30'000)));
                simulation.run(40s);
            }
            // A starved process runs for short intervals only.
            const std::chrono::milliseconds pause(*rc::gen::inRange(100, 3000));
            for (int i = 0; i < 20; ++i) {
                simulation.freeze(3, pause);
                simulation.run(pause + 50ms);
            }
            simulation.run(40s);
            RC_ASSERT(declaredDead.empty());
            RC_ASSERT(simulation.runUntil([&] { return simulation.hasConverged(); }, 60s));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that 5% loss and a delay spread of 120 ms cause no false deaths. Guards against slow,
    // lossy links between data centres that are taken for failures.
    void lossAndDelayCauseNoFalseDeaths()
    {
        Simulation simulation(11);
        simulation.startNodes(40);
        simulation.run(20s);
        simulation.loss = 0.05;
        simulation.delaySpread = 120ms;
        simulation.run(10min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, declaredDeaths(simulation));
    }

    // Tests that all daemons know of a leaving member within 2 s at 20% loss. Guards against
    // daemons that send work to a member that is shutting down.
    void leavingIsKnownEverywhereWithinBound()
    {
        const bool holds = rc::check("leaving is known within 2 s at 20% loss", [] {
            Simulation simulation(*rc::gen::arbitrary<std::uint32_t>());
            simulation.startNodes(30);
            simulation.run(15s);
            simulation.loss = 0.2;
            const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, 30));
            simulation.deliver(Simulation::address(index), Leave{});
            RC_ASSERT(simulation.runUntil(
                    [&] { return simulation.allSee(MemberState::Leaving, index); }, 2s));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that tables converge after a partition of one hour. Guards against partitions that stay
    // separate, or declare each other's members dead, once the link is restored.
    void partitionHeals()
    {
        Simulation simulation(5);
        simulation.startNodes(24);
        simulation.run(20s);
        simulation.isCut = [](const std::string &from, const std::string &to) {
            return partitionOf(from) != partitionOf(to);
        };
        simulation.run(1h);
        CPPUNIT_ASSERT(simulation.allSee(MemberState::Dead, 0) == false);
        CPPUNIT_ASSERT(!simulation.hasConverged());
        simulation.isCut = nullptr;
        const std::size_t before = declaredDeaths(simulation);
        CPPUNIT_ASSERT(simulation.runUntil([&] { return simulation.hasConverged(); }, 30s));
        CPPUNIT_ASSERT_EQUAL(before, declaredDeaths(simulation));
    }

    // Tests that a restarted process is alive in all tables. Guards against claims about its
    // earlier life that keep it dead.
    void newLifeReplacesOld()
    {
        Simulation simulation(3);
        simulation.startNodes(10);
        simulation.run(20s);
        simulation.node(4).running = false;
        simulation.run(60s);
        CPPUNIT_ASSERT(simulation.allSee(MemberState::Dead, 4));
        simulation.startNode("1004", { Simulation::address(0) });
        CPPUNIT_ASSERT(simulation.runUntil([&] { return simulation.hasConverged(); }, 5s));
    }

    // Tests that a later life at the same address replaces the earlier one. Guards against two live
    // records for one address after an instance was replaced.
    void newNameTakesOverAddress()
    {
        Random random(1);
        const TimePoint now{};
        State state = start({ .name = "a", .peerAddress = "10.0.0.1:1" }, {}, now, random);
        Packet packet;
        packet.sender = { .name = "b", .peerAddress = "10.0.0.1:2", .life = 5 };
        step(state, PacketReceived{ "10.0.0.1:2", packet }, now, random);
        packet.sender = { .name = "c", .peerAddress = "10.0.0.1:2", .life = 6 };
        step(state, PacketReceived{ "10.0.0.1:2", packet }, now, random);
        CPPUNIT_ASSERT(state.members.at("b").member.state == MemberState::Dead);
        CPPUNIT_ASSERT(state.members.at("c").member.state == MemberState::Alive);
    }

    // Tests that a process raises its life above the one its peers know, unless another address
    // uses its name. Guards against a restarted process that peers ignore because its clock went
    // back.
    void backwardClockRaisesLife()
    {
        Random random(1);
        const TimePoint now{};
        State state =
                start({ .name = "a", .peerAddress = "10.0.0.1:1", .life = 5 }, {}, now, random);
        step(state, TableReceived{ { { .name = "a", .peerAddress = "10.0.0.1:1", .life = 9 } } },
             now, random);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, state.self.life);
        const auto outputs =
                step(state,
                     TableReceived{ { { .name = "a", .peerAddress = "10.0.0.9:1", .life = 20 } } },
                     now, random);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, state.self.life);
        CPPUNIT_ASSERT(std::ranges::any_of(outputs, [](const Output &output) {
            return std::holds_alternative<NameConflict>(output);
        }));
    }

    // Tests that seed addresses add no members. Guards against members taken from the platform's
    // list, which may contain ended instances.
    void staleSeedListAddsNoMembers()
    {
        Simulation simulation(9);
        simulation.startNodes(3);
        for (std::size_t i = 0; i < 3; ++i) {
            simulation.deliver(Simulation::address(i),
                               SeedsChanged{ { Simulation::address(1), Simulation::address(77) } });
        }
        simulation.run(60s);
        CPPUNIT_ASSERT(simulation.hasConverged());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, simulation.node(0).state.members.size());
    }

    // Tests that the updates of a packet stay within `maxPacketBytes`. Guards against datagrams
    // that grow with the number of members.
    void updatesFitIntoDatagram()
    {
        Simulation simulation(2);
        std::size_t largest = 0;
        simulation.onSend = [&](const std::string &, const Packet &packet) {
            std::size_t bytes = maxEncodedBytes({ packet.sender, {} });
            for (const MemberUpdate &update : packet.updates)
                bytes += maxEncodedBytes(update);
            largest = std::max(largest, bytes);
        };
        simulation.startNodes(150);
        simulation.run(10s);
        CPPUNIT_ASSERT(largest > 300);
        CPPUNIT_ASSERT(largest <= Options().maxPacketBytes);
    }

    // Tests that tables converge after a random sequence of faults. Guards against tables that stay
    // different after the faults have ended.
    void randomFaultsConverge()
    {
        const bool holds = rc::check("tables converge after random faults", [] {
            constexpr std::size_t kCount = 15;
            Simulation simulation(*rc::gen::arbitrary<std::uint32_t>());
            simulation.startNodes(kCount);
            simulation.run(10s);
            simulation.loss = *rc::gen::inRange(0, 30) / 100.0;
            simulation.delaySpread = std::chrono::milliseconds(*rc::gen::inRange(1, 300));
            const int faults = *rc::gen::inRange(1, 12);
            for (int i = 0; i < faults; ++i) {
                const auto index = static_cast<std::size_t>(*rc::gen::inRange<int>(0, kCount));
                if (*rc::gen::arbitrary<bool>())
                    simulation.freeze(index, std::chrono::seconds(*rc::gen::inRange(1, 40)));
                else
                    simulation.startNode(std::to_string(1000 + index),
                                         { Simulation::address(0), Simulation::address(1) });
                simulation.run(std::chrono::seconds(*rc::gen::inRange(0, 15)));
            }
            simulation.loss = 0;
            simulation.delaySpread = 5ms;
            RC_ASSERT(simulation.runUntil([&] { return simulation.hasConverged(); }, 120s));
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProtocolTest);

} // namespace chervilfield::membership
