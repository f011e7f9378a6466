#include "internal/probe.h"

#include <algorithm>

namespace chervilfield::membership::internal {

namespace {

// Share of the time between probe timeout and end of the period after which a relay sends a nack,
// so that the nack arrives before the requester evaluates the probe. The value is that of
// Lifeguard.
constexpr double kNackTimeoutShare = 0.8;

bool isReachable(const Member &member)
{
    return member.state != MemberState::Dead;
}

// Returns true if and only if the missing answer may be caused by this daemon itself.
bool isInconclusive(const State &state, const Probe &probe)
{
    return state.lastReceived < probe.sentAt && liveMemberCount(state) > 2
           && state.healthScore < state.options.silentProbeScoreLimit;
}

void finishProbe(Context &context)
{
    State &state = context.state;
    if (!state.probe)
        return;
    const Probe probe = std::move(*state.probe);
    state.probe.reset();
    if (probe.isAnswered) {
        changeHealth(state, -1);
        return;
    }
    const bool inconclusive = isInconclusive(state, probe);
    const int missingNacks = static_cast<int>(probe.relaysAsked - probe.nacks);
    changeHealth(state, probe.relaysAsked > 0 ? missingNacks : 1);
    const auto found = state.members.find(probe.target);
    if (!inconclusive && found != state.members.end() && isReachable(found->second.member))
        recordUnansweredProbe(context, found->second);
}

// Members are probed in a random order that is shuffled again after each round, which bounds the
// time between two probes of one member.
const MemberEntry *nextTarget(State &state, Random &random)
{
    if (state.probeOrder.empty()) {
        for (const auto &[name, entry] : state.members)
            state.probeOrder.push_back(name);
        std::ranges::shuffle(state.probeOrder, random);
    }
    while (!state.probeOrder.empty()) {
        const auto found = state.members.find(state.probeOrder.back());
        state.probeOrder.pop_back();
        if (found != state.members.end() && isReachable(found->second.member))
            return &found->second;
    }
    return nullptr;
}

} // namespace

void changeHealth(State &state, int change)
{
    const int score = static_cast<int>(state.healthScore) + change;
    state.healthScore = static_cast<unsigned>(
            std::clamp(score, 0, static_cast<int>(state.options.maxHealthScore)));
}

Duration scaleByHealth(const State &state, Duration duration)
{
    return duration * (state.healthScore + 1);
}

void beginPeriod(Context &context)
{
    State &state = context.state;
    finishProbe(context);
    state.nextPeriod = context.now + scaleByHealth(state, state.options.protocolPeriod);
    const MemberEntry *target = nextTarget(state, context.random);
    if (target == nullptr)
        return;
    const Member &member = target->member;
    state.probe =
            Probe{ .sequence = state.nextSequence++,
                   .target = member.name,
                   .sentAt = context.now,
                   .indirectAt = context.now + scaleByHealth(state, state.options.probeTimeout) };
    sendPacket(context, member.peerAddress, Ping{ state.probe->sequence, member.name },
               member.name);
}

void sendIndirectPings(Context &context)
{
    State &state = context.state;
    Probe &probe = *state.probe;
    probe.isIndirectSent = true;
    const auto target = state.members.find(probe.target);
    if (target == state.members.end())
        return;
    const IndirectPing request{ probe.sequence, probe.target, target->second.member.peerAddress };
    for (const MemberEntry *relay : pickRandomMembers(state, state.options.maxIndirectProbes + 1,
                                                      context.random, isReachable)) {
        if (relay->member.name == probe.target
            || probe.relaysAsked == state.options.maxIndirectProbes)
            continue;
        ++probe.relaysAsked;
        sendPacket(context, relay->member.peerAddress, request, relay->member.name);
    }
}

void relayPing(Context &context, const IndirectPing &request, const std::string &from)
{
    State &state = context.state;
    if (state.relayedPings.size() >= state.options.maxRelayedPings)
        return;
    const auto nackDelay = std::chrono::duration_cast<Duration>(
            (state.options.protocolPeriod - state.options.probeTimeout) * kNackTimeoutShare);
    state.relayedPings.push_back({ .sequence = state.nextSequence++,
                                   .requesterSequence = request.sequence,
                                   .requesterAddress = from,
                                   .nackAt = context.now + nackDelay });
    sendPacket(context, request.address, Ping{ state.relayedPings.back().sequence, request.target },
               request.target);
}

void sendDueNacks(Context &context)
{
    auto &relayedPings = context.state.relayedPings;
    std::vector<RelayedPing> dueNacks;
    std::erase_if(relayedPings, [&](const RelayedPing &relay) {
        const bool due = relay.nackAt <= context.now;
        if (due)
            dueNacks.push_back(relay);
        return due;
    });
    for (const RelayedPing &relay : dueNacks)
        sendPacket(context, relay.requesterAddress, Nack{ relay.requesterSequence }, {});
}

void receiveAck(Context &context, std::uint32_t sequence)
{
    State &state = context.state;
    if (state.probe && state.probe->sequence == sequence) {
        state.probe->isAnswered = true;
        const auto found = state.members.find(state.probe->target);
        // The suspicion of a leaving member is local to this daemon, so an answer is enough to end
        // it.
        if (found != state.members.end() && found->second.member.state == MemberState::Leaving)
            found->second.suspicion.reset();
        return;
    }
    const auto relay = std::ranges::find(state.relayedPings, sequence, &RelayedPing::sequence);
    if (relay == state.relayedPings.end())
        return;
    const RelayedPing done = *relay;
    state.relayedPings.erase(relay);
    sendPacket(context, done.requesterAddress, Ack{ done.requesterSequence }, {});
}

void receiveNack(Context &context, std::uint32_t sequence)
{
    auto &probe = context.state.probe;
    if (probe && probe->sequence == sequence && probe->nacks < probe->relaysAsked)
        ++probe->nacks;
}

void compensateForFreeze(Context &context)
{
    State &state = context.state;
    const Duration lateness = context.now - state.expectedWake;
    if (lateness <= state.options.freezeThreshold)
        return;
    changeHealth(state, 2);
    state.probe.reset();
    state.relayedPings.clear();
    for (auto &[name, entry] : state.members) {
        if (entry.suspicion)
            entry.suspicion->start += lateness;
    }
    state.nextPeriod = context.now + state.options.protocolPeriod;
}

} // namespace chervilfield::membership::internal
