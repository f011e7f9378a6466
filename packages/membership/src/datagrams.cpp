#include "internal/datagrams.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chervilfield::membership::internal {

namespace {

// Returns the record of `name` as an update, or nothing if the member is not known.
std::optional<MemberUpdate> makeUpdate(const State &state, std::string_view name)
{
    if (name == state.self.name)
        return MemberUpdate{ state.self, {} };
    const auto found = state.members.find(name);
    if (found == state.members.end())
        return std::nullopt;
    const MemberEntry &entry = found->second;
    MemberUpdate update{ entry.member, {} };
    // Receivers are least likely to know the last accuser.
    if (entry.member.state == MemberState::Suspect && entry.suspicion)
        update.accuser = entry.suspicion->accusers.back();
    return update;
}

unsigned transmissionLimit(const State &state)
{
    const auto members = static_cast<double>(liveMemberCount(state));
    return state.options.retransmitFactor
           * static_cast<unsigned>(std::ceil(std::log10(members + 1)));
}

bool isRefutable(const Member &member)
{
    return member.state == MemberState::Suspect || member.state == MemberState::Dead;
}

// Returns an upper bound of the encoded size of a packet without updates.
std::size_t maxEmptyPacketBytes(const State &state, const Body &body)
{
    // The constant covers version, table hash, revision, sequence number, field headers and stop
    // bytes.
    std::size_t size = 60 + maxEncodedBytes({ state.self, {} });
    // The era is below 2^20 and takes three bytes and a field header.
    size += state.storeEra > 0 ? 4 : 0;
    if (const auto *ping = std::get_if<Ping>(&body))
        size += ping->target.size();
    else if (const auto *indirect = std::get_if<IndirectPing>(&body))
        size += indirect->target.size() + indirect->address.size();
    return size;
}

// Returns the record of `target` if the target can refute it, then the updates that have been sent
// least often, as many as fit into `availableBytes`, and counts their transmission.
std::vector<MemberUpdate> takeUpdates(State &state, std::string_view target,
                                      std::size_t availableBytes)
{
    std::vector<MemberUpdate> updates;
    const auto targetRecord = makeUpdate(state, target);
    if (targetRecord && isRefutable(targetRecord->member)
        && maxEncodedBytes(*targetRecord) <= availableBytes) {
        updates.push_back(*targetRecord);
        availableBytes -= maxEncodedBytes(*targetRecord);
    }
    std::ranges::stable_sort(state.pendingUpdates, {}, &PendingUpdate::transmissions);
    for (PendingUpdate &pending : state.pendingUpdates) {
        // Every packet already carries the sender's record, and the target's record was handled
        // above.
        const bool redundant = pending.name == target || pending.name == state.self.name;
        const auto update = makeUpdate(state, pending.name);
        if (update && !redundant) {
            const std::size_t size = maxEncodedBytes(*update);
            if (size > availableBytes)
                break;
            availableBytes -= size;
            updates.push_back(*update);
        }
        ++pending.transmissions;
    }
    const unsigned limit = transmissionLimit(state);
    std::erase_if(state.pendingUpdates,
                  [limit](const PendingUpdate &pending) { return pending.transmissions >= limit; });
    return updates;
}

} // namespace

void sendPacket(Context &context, const std::string &address, Body body, std::string_view target)
{
    State &state = context.state;
    const std::size_t maxBytes = state.options.maxPacketBytes;
    const std::size_t availableBytes =
            maxBytes - std::min(maxBytes, maxEmptyPacketBytes(state, body));
    Packet packet{ .sender = state.self,
                   .body = std::move(body),
                   .updates = takeUpdates(state, target, availableBytes),
                   .tableHash = state.tableHash,
                   .configurationRevision = state.configurationRevision,
                   .storeEra = state.storeEra };
    context.outputs.emplace_back(SendPacket{ address, std::move(packet) });
}

std::vector<const MemberEntry *> pickRandomMembers(const State &state, std::size_t count,
                                                   Random &random, bool (*accept)(const Member &))
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
         pickRandomMembers(state, state.options.gossipFanout, context.random, reachable)) {
        if (state.pendingUpdates.empty())
            return;
        sendPacket(context, entry->member.peerAddress, {}, entry->member.name);
    }
}

void reconnect(Context &context)
{
    State &state = context.state;
    std::set<std::string> live{ state.self.peerAddress };
    std::map<std::string, std::string> candidates; // Names by address; empty for a seed.
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
