#pragma once

#include "membership/protocol.h"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chervilfield::membership {

/// Simulates daemons on a virtual clock and a network between them that loses, delays and cuts off
/// datagrams. The tests and the bench use it.
class Simulation
{
public:
    struct Node
    {
        State state;
        bool running = true;
        TimePoint frozenUntil;
        std::vector<Input> backlog; ///< Arrived while the process was frozen.
        std::size_t deathsDeclared = 0;
    };

    explicit Simulation(std::uint64_t seed) : random(seed) {}

    /// Starts a daemon. Starting one at the same port again starts its next life.
    void startNode(const std::string &port, std::vector<std::string> seeds,
                   const Options &options = {})
    {
        const Member self{ .name = namePrefix + port,
                           .peerAddress = "10.0.0.1:" + port,
                           .callerAddress = "10.1.0.1:" + port,
                           .dataCentre = "dc-1",
                           .life = ++lives };
        Node node;
        node.state = start(self, options, now, random);
        nodes[self.peerAddress] = std::move(node);
        deliver(self.peerAddress, SeedsChanged{ std::move(seeds) });
        deliver(self.peerAddress, Tick{});
    }

    void startNodes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            startNode(std::to_string(1000 + i), { address(0), address(1), address(2) });
    }

    static std::string address(std::size_t index)
    {
        return "10.0.0.1:" + std::to_string(1000 + index);
    }

    Node &node(std::size_t index) { return nodes.at(address(index)); }

    void freeze(std::size_t index, Duration duration) { node(index).frozenUntil = now + duration; }

    void run(Duration duration)
    {
        const TimePoint end = now + duration;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now = event.at;
            deliver(event.address, event.input);
        }
        now = end;
    }

    /// Runs until the condition holds or `timeout` has passed, and returns whether the condition
    /// holds.
    bool runUntil(const std::function<bool()> &condition, Duration timeout)
    {
        const TimePoint end = now + timeout;
        while (!condition() && now < end)
            run(std::chrono::milliseconds(100));
        return condition();
    }

    void deliver(const std::string &to, const Input &input)
    {
        const auto found = nodes.find(to);
        if (found == nodes.end() || !found->second.running)
            return;
        Node &node = found->second;
        if (now < node.frozenUntil) {
            if (node.backlog.empty())
                schedule(node.frozenUntil, to, Tick{});
            node.backlog.push_back(input);
            return;
        }
        const std::vector<Input> backlog = std::exchange(node.backlog, {});
        for (const Input &late : backlog)
            handle(to, node, late);
        handle(to, node, input);
    }

    /// Returns true if and only if all other running nodes know the node in `state`.
    bool allSee(MemberState state, std::size_t index) const
    {
        const std::string name = namePrefix + std::to_string(1000 + index);
        for (const auto &[address, node] : nodes) {
            if (!node.running || node.state.self.name == name)
                continue;
            const auto found = node.state.members.find(name);
            if (found == node.state.members.end() || found->second.member.state != state)
                return false;
        }
        return true;
    }

    /// Returns true if and only if each running node knows as many alive members as nodes are
    /// running, including itself.
    bool hasConverged() const
    {
        std::size_t running = 0;
        for (const auto &[address, node] : nodes)
            running += node.running ? 1 : 0;
        for (const auto &[address, node] : nodes) {
            std::size_t alive = 1;
            for (const auto &[name, entry] : node.state.members)
                alive += entry.member.state == MemberState::Alive ? 1 : 0;
            if (node.running && alive != running)
                return false;
        }
        return true;
    }

    std::map<std::string, Node> nodes; ///< By peer address.
    TimePoint now{ std::chrono::hours(1) };
    Random random;
    std::string namePrefix;
    std::uint64_t lives = 0;
    double loss = 0;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration delaySpread = std::chrono::milliseconds(10);
    std::function<bool(const std::string &, const std::string &)> isCut;
    std::function<void(const std::string &, const Packet &)> onSend;
    std::function<void(const std::string &, const std::vector<Member> &)> onExchange;
    std::function<void(const std::string &, const MemberChanged &)> onChange;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::string address;
        Input input;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(TimePoint at, const std::string &to, Input input)
    {
        events_.push({ at, ++order_, to, std::move(input) });
    }

    TimePoint arrival()
    {
        const auto spread = static_cast<std::uint64_t>(delaySpread.count()) + 1;
        return now + minDelay + Duration(static_cast<Duration::rep>(random() % spread));
    }

    bool isLost(const std::string &from, const std::string &to)
    {
        return (isCut && isCut(from, to)) || std::uniform_real_distribution<>(0, 1)(random) < loss;
    }

    void handle(const std::string &at, Node &node, const Input &input)
    {
        // This timer was replaced by a later one.
        if (std::holds_alternative<Tick>(input) && now < nextWake(node.state)
            && node.state.expectedWake > now)
            return;
        const std::vector<Output> outputs = step(node.state, input, now, random);
        for (const Output &output : outputs)
            applyOutput(at, node, output);
        schedule(std::max(nextWake(node.state), now + std::chrono::milliseconds(1)), at, Tick{});
    }

    void applyOutput(const std::string &at, Node &node, const Output &output)
    {
        if (const auto *send = std::get_if<SendPacket>(&output)) {
            if (onSend)
                onSend(at, send->packet);
            if (!isLost(at, send->address))
                schedule(arrival(), send->address, PacketReceived{ at, send->packet });
        } else if (const auto *exchange = std::get_if<ExchangeTable>(&output)) {
            exchangeTables(at, node, exchange->address);
        } else if (const auto *change = std::get_if<MemberChanged>(&output)) {
            node.deathsDeclared += change->member.state == MemberState::Dead ? 1 : 0;
            if (onChange)
                onChange(at, *change);
        }
    }

    // TCP retransmits lost segments, so only a partition or a stopped process prevents the
    // exchange.
    void exchangeTables(const std::string &at, const Node &node, const std::string &to)
    {
        const auto peer = nodes.find(to);
        if (peer == nodes.end() || !peer->second.running || now < peer->second.frozenUntil
            || (isCut && isCut(at, to)))
            return;
        if (onExchange) {
            onExchange(at, table(node.state));
            onExchange(to, table(peer->second.state));
        }
        schedule(arrival(), to, TableReceived{ table(node.state) });
        schedule(arrival(), at, TableReceived{ table(peer->second.state) });
    }

    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
};

} // namespace chervilfield::membership
