#include "internal/probe.h"

#include <algorithm>

namespace chervilfield::membership::internal {

namespace {

// Part of the probe timeout after which a relay reports that the target has not answered, so that
// the report arrives before the requester judges the probe. The value is Lifeguard's.
constexpr double kNackShare = 0.8;

bool isReachable(const Member &member)
{
    return member.state != MemberState::Dead;
}

// Returns true if and only if the silence may be this daemon's own fault.
bool isInconclusive(const State &state, const Probe &probe)
{
    return state.lastReceived < probe.sent && liveCount(state) > 2
           && state.healthScore < state.options.silentProbeScoreLimit;
}

void judgeProbe(Context &context)
{
    State &state = context.state;
    if (!state.probe)
        return;
    const Probe probe = std::move(*state.probe);
    state.probe.reset();
    if (probe.answered) {
        changeHealth(state, -1);
        return;
    }
    const bool inconclusive = isInconclusive(state, probe);
    const int missingNacks = static_cast<int>(probe.relaysAsked - probe.nacks);
    changeHealth(state, probe.relaysAsked > 0 ? missingNacks : 1);
    const auto found = state.members.find(probe.target);
    if (!inconclusive && found != state.members.end() && isReachable(found->second.member))
        suspectUnanswered(context, found->second);
}

// Members are probed in a random order that is drawn again after each round, which bounds the time
// between two probes of one member.
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

Duration stretched(const State &state, Duration duration)
{
    return duration * (state.healthScore + 1);
}

void beginPeriod(Context &context)
{
    State &state = context.state;
    judgeProbe(context);
    state.nextPeriod = context.now + stretched(state, state.options.protocolPeriod);
    const MemberEntry *target = nextTarget(state, context.random);
    if (target == nullptr)
        return;
    const Member &member = target->member;
    state.probe = Probe{ .sequence = state.nextSequence++,
                         .target = member.name,
                         .sent = context.now,
                         .indirectAt = context.now + stretched(state, state.options.probeTimeout) };
    sendPacket(context, member.peerAddress, Ping{ state.probe->sequence, member.name },
               member.name);
}

void probeIndirectly(Context &context)
{
    State &state = context.state;
    Probe &probe = *state.probe;
    probe.indirectSent = true;
    const auto target = state.members.find(probe.target);
    if (target == state.members.end())
        return;
    const IndirectPing request{ probe.sequence, probe.target, target->second.member.peerAddress };
    for (const MemberEntry *relay :
         pickMembers(state, state.options.maxIndirectProbes + 1, context.random, isReachable)) {
        if (relay->member.name == probe.target
            || probe.relaysAsked == state.options.maxIndirectProbes)
            continue;
        ++probe.relaysAsked;
        sendPacket(context, relay->member.peerAddress, request, relay->member.name);
    }
}

void beginRelay(Context &context, const IndirectPing &request, const std::string &from)
{
    State &state = context.state;
    if (state.relayedPings.size() >= state.options.maxRelayedPings)
        return;
    const auto patience = std::chrono::duration_cast<Duration>(
            (state.options.protocolPeriod - state.options.probeTimeout) * kNackShare);
    state.relayedPings.push_back({ .sequence = state.nextSequence++,
                                   .requesterSequence = request.sequence,
                                   .requesterAddress = from,
                                   .nackAt = context.now + patience });
    sendPacket(context, request.address, Ping{ state.relayedPings.back().sequence, request.target },
               request.target);
}

void answerRelays(Context &context)
{
    auto &relayedPings = context.state.relayedPings;
    std::vector<RelayedPing> late;
    std::erase_if(relayedPings, [&](const RelayedPing &relay) {
        const bool due = relay.nackAt <= context.now;
        if (due)
            late.push_back(relay);
        return due;
    });
    for (const RelayedPing &relay : late)
        sendPacket(context, relay.requesterAddress, Nack{ relay.requesterSequence }, {});
}

void receiveAck(Context &context, std::uint32_t sequence)
{
    State &state = context.state;
    if (state.probe && state.probe->sequence == sequence) {
        state.probe->answered = true;
        const auto found = state.members.find(state.probe->target);
        // The doubt about a leaving member is private, so its answer is enough to end it.
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

void forgiveFreeze(Context &context)
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
