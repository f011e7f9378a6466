#include "membership/protocol.h"

#include "internal/probe.h"

#include <algorithm>
#include <utility>

namespace chervilfield::membership {

namespace {

using internal::Context;

Duration jitter(Duration maxJitter, Random &random)
{
    const auto count = static_cast<std::uint64_t>(maxJitter.count());
    return Duration(static_cast<Duration::rep>(random() % (count + 1)));
}

// Requests a table exchange if the peer's table differs and gossip has had time to remove the
// difference.
void compareTables(Context &context, const Packet &packet, const std::string &from)
{
    State &state = context.state;
    if (packet.tableHash == state.tableHash)
        return;
    const Duration sinceSync = context.now - state.lastSync;
    const bool settled = context.now - state.lastChange >= state.options.settleTime;
    // Under constant change the table never settles; it is still exchanged, but less often.
    const bool overdue = sinceSync >= 6 * state.options.syncInterval;
    if ((!settled || sinceSync < state.options.syncInterval) && !overdue)
        return;
    state.lastSync = context.now;
    context.outputs.emplace_back(ExchangeTable{ from });
}

// Requests the whole table at the first contact after a start.
void completeJoin(Context &context, const std::string &from)
{
    State &state = context.state;
    if (state.joined)
        return;
    state.joined = true;
    state.lastSync = context.now;
    context.outputs.emplace_back(ExchangeTable{ from });
    internal::scheduleUpdate(state, state.self.name);
}

struct BodyHandler
{
    Context &context;
    const PacketReceived &received;

    void operator()(std::monostate) const {}
    void operator()(const Ping &ping) const
    {
        // A ping for another name was meant for a process that had this address before.
        if (!ping.target.empty() && ping.target != context.state.self.name)
            return;
        sendPacket(context, received.from, Ack{ ping.sequence }, received.packet.sender.name);
    }
    void operator()(const Ack &ack) const { receiveAck(context, ack.sequence); }
    void operator()(const Nack &nack) const { receiveNack(context, nack.sequence); }
    void operator()(const IndirectPing &request) const
    {
        relayPing(context, request, received.from);
    }
};

struct InputHandler
{
    Context &context;

    void operator()(const Tick &) const
    {
        State &state = context.state;
        const TimePoint now = context.now;
        internal::expireMembers(context);
        internal::sendDueNacks(context);
        if (state.probe && !state.probe->isAnswered && !state.probe->isIndirectSent
            && now >= state.probe->indirectAt)
            internal::sendIndirectPings(context);
        if (now >= state.nextPeriod)
            internal::beginPeriod(context);
        if (now >= state.nextGossip) {
            internal::gossip(context);
            state.nextGossip = now + state.options.gossipInterval;
        }
        if (now >= state.nextReconnect) {
            internal::reconnect(context);
            const Duration interval =
                    state.joined ? state.options.reconnectInterval : state.options.joinInterval;
            state.nextReconnect = now + interval / 2 + jitter(interval, context.random);
        }
    }

    void operator()(const PacketReceived &received) const
    {
        State &state = context.state;
        const Packet &packet = received.packet;
        if (packet.sender.name == state.self.name && packet.sender.life == state.self.life)
            return;
        state.lastReceived = context.now;
        internal::applyUpdate(context, { packet.sender, {} });
        for (const MemberUpdate &update : packet.updates)
            internal::applyUpdate(context, update);
        completeJoin(context, received.from);
        std::visit(BodyHandler{ context, received }, packet.body);
        compareTables(context, packet, received.from);
        if (packet.storeEra > state.storeEra)
            context.outputs.emplace_back(NewerEra{ packet.storeEra });
        else if (packet.storeEra == state.storeEra
                 && packet.configurationRevision > state.configurationRevision)
            context.outputs.emplace_back(
                    NewerRevision{ packet.configurationRevision, received.from });
    }

    void operator()(const TableReceived &received) const
    {
        for (const Member &member : received.members)
            internal::applyTableRecord(context, member);
    }

    void operator()(const SeedsChanged &seeds) const
    {
        context.state.seeds = seeds.addresses;
        if (context.state.seeds.size() > context.state.options.maxMembers)
            context.state.seeds.resize(context.state.options.maxMembers);
        if (!context.state.joined)
            context.state.nextReconnect = context.now;
    }

    void operator()(const RevisionChanged &change) const
    {
        State &state = context.state;
        // The store issues the same revisions again in each era.
        const auto [era, revision] =
                std::max(std::pair(state.storeEra, state.configurationRevision),
                         std::pair(change.storeEra, change.revision));
        state.storeEra = era;
        state.configurationRevision = revision;
    }

    void operator()(const Leave &) const { announceToAll(MemberState::Leaving); }
    void operator()(const Exit &) const { announceToAll(MemberState::Dead); }

    // Sends the new state to every member directly, so that it arrives within one message delay.
    // Gossip reaches the members whose datagram was lost.
    void announceToAll(MemberState memberState) const
    {
        State &state = context.state;
        if (state.self.state >= memberState)
            return;
        internal::announceSelf(context, memberState, state.self.incarnation + 1);
        // These packets carry only this daemon's record, so their size does not depend on other
        // scheduled updates.
        const Packet packet{ .sender = state.self,
                             .body = {},
                             .updates = {},
                             .tableHash = state.tableHash,
                             .configurationRevision = state.configurationRevision,
                             .storeEra = state.storeEra };
        for (const auto &[name, entry] : state.members) {
            if (entry.member.state != MemberState::Dead)
                context.outputs.emplace_back(SendPacket{ entry.member.peerAddress, packet });
        }
    }
};

} // namespace

Options optionsFor(Duration protocolPeriod)
{
    Options options;
    const auto scaled = [&](Duration standard) {
        return std::chrono::duration_cast<Duration>(
                standard
                * (std::chrono::duration<double>(protocolPeriod) / options.protocolPeriod));
    };
    const Options standard = options;
    options.probeTimeout = scaled(standard.probeTimeout);
    options.gossipInterval = scaled(standard.gossipInterval);
    options.reconnectInterval = scaled(standard.reconnectInterval);
    options.syncInterval = scaled(standard.syncInterval);
    options.settleTime = scaled(standard.settleTime);
    options.protocolPeriod = protocolPeriod;
    return options;
}

State start(Member self, const Options &options, TimePoint now, Random &random)
{
    State state;
    state.options = options;
    state.self = std::move(self);
    state.tableHash = recordHash(state.self);
    state.nextPeriod = now + jitter(options.protocolPeriod, random);
    state.nextGossip = now + jitter(options.gossipInterval, random);
    state.nextReconnect = now;
    state.lastReceived = now;
    state.lastChange = now;
    state.lastSync = now;
    state.expectedWake = now;
    return state;
}

std::vector<Output> step(State &state, const Input &input, TimePoint now, Random &random)
{
    Context context{ state, now, random, {} };
    internal::compensateForFreeze(context);
    std::visit(InputHandler{ context }, input);
    state.expectedWake = std::max(nextWake(state), now);
    return std::move(context.outputs);
}

TimePoint nextWake(const State &state)
{
    TimePoint wake = std::min({ state.nextPeriod, state.nextReconnect });
    if (!state.pendingUpdates.empty())
        wake = std::min(wake, state.nextGossip);
    if (state.probe && !state.probe->isAnswered && !state.probe->isIndirectSent)
        wake = std::min(wake, state.probe->indirectAt);
    for (const RelayedPing &relay : state.relayedPings)
        wake = std::min(wake, relay.nackAt);
    return wake;
}

std::vector<Member> table(const State &state)
{
    std::vector<Member> members;
    members.reserve(state.members.size() + 1);
    for (const auto &[name, entry] : state.members)
        members.push_back(entry.member);
    const auto position = std::ranges::lower_bound(members, state.self.name, {}, &Member::name);
    members.insert(position, state.self);
    return members;
}

std::size_t maxEncodedBytes(const MemberUpdate &update)
{
    // Five strings with header and length (10), life (11), incarnation (6), state (2), bandwidth
    // (6), stop byte (1).
    constexpr std::size_t kFixedBytes = 36;
    const Member &member = update.member;
    return kFixedBytes + member.name.size() + member.peerAddress.size()
           + member.callerAddress.size() + member.dataCentre.size() + update.accuser.size();
}

} // namespace chervilfield::membership
