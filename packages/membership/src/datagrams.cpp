#include "internal/datagrams.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chervilfield::membership::internal {

namespace {

// Returns the record of `name` as an update, or nothing if the member is not known.
std::optional<MemberUpdate> updateOf(const State &state, std::string_view name)
{
    if (name == state.self.name)
        return MemberUpdate{ state.self, {} };
    const auto found = state.members.find(name);
    if (found == state.members.end())
        return std::nullopt;
    const MemberEntry &entry = found->second;
    MemberUpdate update{ entry.member, {} };
    // The last accuser is the one that receivers are least likely to know.
    if (entry.member.state == MemberState::Suspect && entry.suspicion)
        update.accuser = entry.suspicion->accusers.back();
    return update;
}

unsigned transmissionLimit(const State &state)
{
    const auto members = static_cast<double>(liveCount(state));
    return state.options.retransmitFactor
           * static_cast<unsigned>(std::ceil(std::log10(members + 1)));
}

bool isNewsToSubject(const Member &member)
{
    return member.state == MemberState::Suspect || member.state == MemberState::Dead;
}

// Returns an upper bound of the encoded size of a packet without updates.
std::size_t emptyBound(const State &state, const Body &body)
{
    // Version, table hash, revision, sequence number, field headers and stop bytes.
    std::size_t size = 60 + maxEncodedBytes({ state.self, {} });
    if (const auto *ping = std::get_if<Ping>(&body))
        size += ping->target.size();
    else if (const auto *indirect = std::get_if<IndirectPing>(&body))
        size += indirect->target.size() + indirect->address.size();
    return size;
}

// Takes the updates that have been sent least often, as many as fit into `room` bytes.
std::vector<MemberUpdate> takeUpdates(State &state, std::string_view target, std::size_t room)
{
    std::vector<MemberUpdate> updates;
    const auto targetRecord = updateOf(state, target);
    if (targetRecord && isNewsToSubject(targetRecord->member)
        && maxEncodedBytes(*targetRecord) <= room) {
        updates.push_back(*targetRecord);
        room -= maxEncodedBytes(*targetRecord);
    }
    std::ranges::stable_sort(state.pending, {}, &PendingUpdate::transmissions);
    for (PendingUpdate &pending : state.pending) {
        // Each packet carries the sender's own record anyway.
        const bool redundant = pending.name == target || pending.name == state.self.name;
        const auto update = updateOf(state, pending.name);
        if (update && !redundant) {
            const std::size_t size = maxEncodedBytes(*update);
            if (size > room)
                break;
            room -= size;
            updates.push_back(*update);
        }
        ++pending.transmissions;
    }
    const unsigned limit = transmissionLimit(state);
    std::erase_if(state.pending,
                  [limit](const PendingUpdate &pending) { return pending.transmissions >= limit; });
    return updates;
}

} // namespace

void sendPacket(Context &context, const std::string &address, Body body, std::string_view target)
{
    State &state = context.state;
    const std::size_t most = state.options.maxPacketBytes;
    const std::size_t room = most - std::min(most, emptyBound(state, body));
    Packet packet{ .sender = state.self,
                   .body = std::move(body),
                   .updates = takeUpdates(state, target, room),
                   .tableHash = state.tableHash,
                   .configurationRevision = state.configurationRevision };
    context.outputs.emplace_back(SendPacket{ address, std::move(packet) });
}

std::vector<const MemberEntry *> pickMembers(const State &state, std::size_t count, Random &random,
                                             bool (*accept)(const Member &))
{
    std::vector<const MemberEntry *> candidates;
    for (const auto &[name, entry] : state.members) {
        if (accept(entry.member))
            candidates.push_back(&entry);
    }
    const std::size_t taken = std::min(count, candidates.size());
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(candidates[i], candidates[i + random() % (candidates.size() - i)]);
    candidates.resize(taken);
    return candidates;
}

void gossip(Context &context)
{
    State &state = context.state;
    const auto reachable = [](const Member &member) { return member.state != MemberState::Dead; };
    for (const MemberEntry *entry :
         pickMembers(state, state.options.gossipFanout, context.random, reachable)) {
        if (state.pending.empty())
            return;
        sendPacket(context, entry->member.peerAddress, {}, entry->member.name);
    }
}

void reconnect(Context &context)
{
    State &state = context.state;
    std::set<std::string> live{ state.self.peerAddress };
    std::map<std::string, std::string> candidates; // Name by address; empty for a seed.
    for (const std::string &seed : state.seeds)
        candidates.emplace(seed, std::string());
    for (const auto &[name, entry] : state.members) {
        if (entry.member.state == MemberState::Dead)
            candidates[entry.member.peerAddress] = name;
        else
            live.insert(entry.member.peerAddress);
    }
    std::erase_if(candidates, [&live](const auto &item) { return live.contains(item.first); });
    const std::size_t fanout = state.joined ? 1 : state.options.joinFanout;
    for (std::size_t i = 0; i < fanout && !candidates.empty(); ++i) {
        const auto offset = static_cast<std::ptrdiff_t>(context.random() % candidates.size());
        const auto chosen = std::next(candidates.begin(), offset);
        // A restarted process may have another name at the address, so the ping names no target.
        sendPacket(context, chosen->first, Ping{ state.nextSequence++, {} }, chosen->second);
        candidates.erase(chosen);
    }
}

} // namespace chervilfield::membership::internal
