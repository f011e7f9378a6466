#include "internal/probe.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::membership::internal {

namespace {

void storeRecord(Context &context, MemberEntry &entry, Member record,
                 std::optional<MemberState> previous)
{
    State &state = context.state;
    const auto hashOf = [](const Member &member) {
        return member.state == MemberState::Dead ? 0 : recordHash(member);
    };
    if (previous)
        state.tableHash ^= hashOf(entry.member);
    state.tableHash ^= hashOf(record);
    entry.member = std::move(record);
    entry.since = context.now;
    entry.suspicion.reset();
    state.lastChange = context.now;
    scheduleUpdate(state, entry.member.name);
    context.outputs.emplace_back(MemberChanged{ entry.member, previous });
}

// Declares all but the latest life at an address dead, because only one process can be bound to it.
void resolveAddressConflict(Context &context, MemberEntry &entry)
{
    if (entry.member.state == MemberState::Dead)
        return;
    for (auto &[name, other] : context.state.members) {
        if (&other == &entry || other.member.state == MemberState::Dead
            || other.member.peerAddress != entry.member.peerAddress)
            continue;
        MemberEntry &replaced = other.member.life < entry.member.life ? other : entry;
        Member record = replaced.member;
        record.state = MemberState::Dead;
        storeRecord(context, replaced, std::move(record), replaced.member.state);
        if (&replaced == &entry)
            return;
    }
}

// Returns true if one more member can be stored. A full table drops the member that has been dead
// for the longest time.
bool ensureCapacity(State &state)
{
    if (state.members.size() < state.options.maxMembers)
        return true;
    auto oldest = state.members.end();
    for (auto it = state.members.begin(); it != state.members.end(); ++it) {
        if (it->second.member.state == MemberState::Dead
            && (oldest == state.members.end() || it->second.since < oldest->second.since))
            oldest = it;
    }
    if (oldest == state.members.end())
        return false;
    state.members.erase(oldest);
    return true;
}

void addMember(Context &context, const MemberUpdate &update)
{
    State &state = context.state;
    // The death of an unknown member changes nothing here.
    if (update.member.state == MemberState::Dead || !ensureCapacity(state))
        return;
    MemberEntry &entry = state.members[update.member.name];
    storeRecord(context, entry, update.member, std::nullopt);
    if (update.member.state == MemberState::Suspect)
        entry.suspicion = Suspicion{ context.now, { update.accuser } };
    const auto position = context.random() % (state.probeOrder.size() + 1);
    state.probeOrder.insert(state.probeOrder.begin() + static_cast<std::ptrdiff_t>(position),
                            update.member.name);
    resolveAddressConflict(context, entry);
}

void applyToSelf(Context &context, const Member &claim)
{
    State &state = context.state;
    Member &self = state.self;
    if (claim.life > self.life) {
        if (claim.peerAddress != self.peerAddress) {
            context.outputs.emplace_back(NameConflict{ claim });
            return;
        }
        // The wall clock, which provides the lives, went back between two starts.
        state.tableHash ^= recordHash(self);
        self.life = claim.life + 1;
        state.tableHash ^= recordHash(self);
        announceSelf(context, self.state, 0);
        return;
    }
    if (claim.life < self.life || !supersedes(claim, self))
        return;
    changeHealth(state, 1);
    announceSelf(context, self.state, claim.incarnation + 1);
}

} // namespace

void scheduleUpdate(State &state, const std::string &name)
{
    const auto found = std::ranges::find(state.pendingUpdates, name, &PendingUpdate::name);
    if (found == state.pendingUpdates.end())
        state.pendingUpdates.push_back({ name, 0 });
    else
        found->transmissions = 0;
}

std::size_t liveMemberCount(const State &state)
{
    const auto live = [](const auto &item) {
        return item.second.member.state != MemberState::Dead;
    };
    return 1 + static_cast<std::size_t>(std::ranges::count_if(state.members, live));
}

void announceSelf(Context &context, MemberState memberState, std::uint32_t incarnation)
{
    State &state = context.state;
    state.tableHash ^= recordHash(state.self);
    state.self.state = memberState;
    state.self.incarnation = incarnation;
    state.tableHash ^= recordHash(state.self);
    state.lastChange = context.now;
    scheduleUpdate(state, state.self.name);
}

void applyUpdate(Context &context, const MemberUpdate &update)
{
    State &state = context.state;
    if (update.member.name == state.self.name) {
        applyToSelf(context, update.member);
        return;
    }
    const auto found = state.members.find(update.member.name);
    if (found == state.members.end()) {
        addMember(context, update);
        return;
    }
    MemberEntry &entry = found->second;
    if (update.member.state == MemberState::Suspect) {
        applySuspicion(context, entry, update);
        return;
    }
    if (!supersedes(update.member, entry.member))
        return;
    const bool moved = update.member.peerAddress != entry.member.peerAddress;
    storeRecord(context, entry, update.member, entry.member.state);
    if (moved)
        resolveAddressConflict(context, entry);
}

void applyTableRecord(Context &context, const Member &record)
{
    MemberUpdate update{ record, {} };
    if (record.state == MemberState::Dead)
        update.member.state = MemberState::Suspect;
    const auto found = context.state.members.find(record.name);
    const bool known = found != context.state.members.end();
    if (record.state == MemberState::Dead && !known && record.name != context.state.self.name)
        return;
    applyUpdate(context, update);
}

void applySuspicion(Context &context, MemberEntry &entry, const MemberUpdate &update)
{
    if (supersedes(update.member, entry.member)) {
        storeRecord(context, entry, update.member, entry.member.state);
        entry.suspicion = Suspicion{ context.now, { update.accuser } };
        return;
    }
    if (update.member != entry.member || !entry.suspicion)
        return;
    auto &accusers = entry.suspicion->accusers;
    if (accusers.size() > context.state.options.maxConfirmations
        || std::ranges::find(accusers, update.accuser) != accusers.end())
        return;
    accusers.push_back(update.accuser);
    scheduleUpdate(context.state, entry.member.name);
}

void recordUnansweredProbe(Context &context, MemberEntry &entry)
{
    const std::string &self = context.state.self.name;
    if (entry.member.state == MemberState::Leaving) {
        // A leaving member receives no work anyway, so the suspicion stays local; only the death is
        // sent to other members.
        if (!entry.suspicion)
            entry.suspicion = Suspicion{ context.now, { self } };
        return;
    }
    MemberUpdate claim{ entry.member, self };
    claim.member.state = MemberState::Suspect;
    applySuspicion(context, entry, claim);
}

TimePoint suspicionEnd(const State &state, const Suspicion &suspicion)
{
    const Options &options = state.options;
    const double digits = std::max(1.0, std::log10(static_cast<double>(liveMemberCount(state))));
    const double minPeriods = options.suspicionFactor * digits;
    const double maxPeriods = minPeriods * options.maxSuspicionRatio;
    const auto confirmed = static_cast<double>(suspicion.accusers.size()) - 1;
    const double share = std::log(confirmed + 1) / std::log(options.maxConfirmations + 1.0);
    const double periods = std::max(minPeriods, maxPeriods - (maxPeriods - minPeriods) * share);
    return suspicion.start + std::chrono::duration_cast<Duration>(options.protocolPeriod * periods);
}

void expireMembers(Context &context)
{
    State &state = context.state;
    for (auto it = state.members.begin(); it != state.members.end();) {
        MemberEntry &entry = it->second;
        if (entry.suspicion && context.now >= suspicionEnd(state, *entry.suspicion)) {
            Member record = entry.member;
            record.state = MemberState::Dead;
            storeRecord(context, entry, std::move(record), entry.member.state);
        }
        const bool expired = entry.member.state == MemberState::Dead
                             && context.now - entry.since >= state.options.deadRetention;
        it = expired ? state.members.erase(it) : std::next(it);
    }
}

} // namespace chervilfield::membership::internal
