#include "control/member_actor.h"

#include "internal/actor_system.h"

#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace chervilfield::control {

namespace {

using membership::MemberState;
using Clock = std::chrono::steady_clock;

// Message of the actor. It is never sent to other processes, so it needs no serialization.
struct MemberInput
{
    membership::Input input;
};

// Maximum number of datagrams queued for the actor: several for each member of the largest
// deployment.
constexpr int kMaxQueuedDatagrams = 4096;

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

} // namespace

} // namespace chervilfield::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chervilfield::control::MemberInput)

namespace chervilfield::control {

/// State that the actor shares with readers on other threads. Only the actor modifies it, except
/// for the counter of queued datagrams and `isStopped`.
struct MemberActor::State
{
    State(MemberActorOptions initialOptions, Clock::time_point now)
        : options(std::move(initialOptions)), random(options.randomSeed),
          protocol(membership::start(options.self, options.protocol, now, random))
    {
        publish();
    }

    void handle(caf::event_based_actor *self, const membership::Input &input);
    void scheduleTick(caf::event_based_actor *self, Clock::time_point now);
    void publish();
    void recordChange(const membership::MemberChanged &change) const;
    /// Executes an output of the protocol. Returns true if the output changes the table.
    bool execute(const membership::Output &output) const;

    MemberActorOptions options;
    membership::Random random;
    membership::State protocol;
    std::optional<Clock::time_point> nextTickAt; ///< When the next tick message is due.
    std::atomic<MemberSnapshotPtr> published;
    std::atomic<int> queuedDatagrams{ 0 };
    std::mutex stopMutex; ///< Held while the actor handles a message.
    bool isStopped = false;
    caf::actor actor;
};

void MemberActor::State::recordChange(const membership::MemberChanged &change) const
{
    const membership::Member &member = change.member;
    const std::string_view before = change.previous ? toString(*change.previous) : "unknown";
    LOG(INFO) << "[control] Member " << member.name << " at " << member.peerAddress << " is now "
              << toString(member.state) << "; previous state: " << before << ", life "
              << member.life << ", incarnation " << member.incarnation << '.';
    if (options.timeLine != nullptr)
        options.timeLine->record("control", "member-" + std::string(toString(member.state)),
                                 member.name, "after " + std::string(before));
}

bool MemberActor::State::execute(const membership::Output &output) const
{
    if (const auto *send = std::get_if<membership::SendPacket>(&output)) {
        if (options.send)
            options.send(send->address, send->packet);
    } else if (const auto *exchange = std::get_if<membership::ExchangeTable>(&output)) {
        if (options.exchangeTable)
            options.exchangeTable(exchange->address);
    } else if (const auto *newer = std::get_if<membership::NewerRevision>(&output)) {
        if (options.revisionSeen)
            options.revisionSeen(newer->revision, newer->address);
    } else if (const auto *era = std::get_if<membership::NewerEra>(&output)) {
        if (options.storeEraSeen)
            options.storeEraSeen(era->storeEra);
    } else if (const auto *conflict = std::get_if<membership::NameConflict>(&output)) {
        LOG_EVERY_N(ERROR, 100) << "[control] Member name " << conflict->other.name
                                << " is also used by a process that started later, at "
                                << conflict->other.peerAddress << "; this process is at "
                                << protocol.self.peerAddress << '.';
    } else if (const auto *change = std::get_if<membership::MemberChanged>(&output)) {
        recordChange(*change);
        return true;
    }
    return false;
}

void MemberActor::State::publish()
{
    published = std::make_shared<const MemberSnapshot>(MemberSnapshot{
            .self = protocol.self,
            .members = membership::table(protocol),
            .joined = protocol.joined,
    });
}

void MemberActor::State::handle(caf::event_based_actor *self, const membership::Input &input)
{
    const Clock::time_point now = Clock::now();
    const membership::Member selfBefore = protocol.self;
    const bool joinedBefore = protocol.joined;
    bool changed = false;
    for (const membership::Output &output : membership::step(protocol, input, now, random))
        changed = execute(output) || changed;
    if (changed || protocol.self != selfBefore || protocol.joined != joinedBefore) {
        publish();
        if (options.published)
            options.published(published.load());
    }
    if (nextTickAt && now >= *nextTickAt)
        nextTickAt.reset();
    scheduleTick(self, now);
}

void MemberActor::State::scheduleTick(caf::event_based_actor *self, Clock::time_point now)
{
    const Clock::time_point wake = membership::nextWake(protocol);
    if (nextTickAt && *nextTickAt <= wake)
        return;
    // A later tick that is already scheduled does no harm, because nothing is due when it arrives.
    nextTickAt = std::max(wake, now);
    self->delayed_send(self, *nextTickAt - now, MemberInput{ membership::Tick{} });
}

MemberActor::MemberActor(ControlSystem &system, MemberActorOptions options)
    : state_(std::make_shared<State>(std::move(options), Clock::now()))
{
    // The actor shares ownership of the state, because it may run longer than this object exists.
    state_->actor = system.implementation().system.spawn(
            [state = state_](caf::event_based_actor *self) -> caf::behavior {
                return { [state, self](const MemberInput &message) {
                    if (std::holds_alternative<membership::PacketReceived>(message.input))
                        --state->queuedDatagrams;
                    const std::lock_guard lock(state->stopMutex);
                    if (!state->isStopped)
                        state->handle(self, message.input);
                } };
            });
    post(membership::Tick{});
}

MemberActor::~MemberActor()
{
    {
        const std::lock_guard lock(state_->stopMutex);
        state_->isStopped = true;
    }
    caf::anon_send_exit(state_->actor, caf::exit_reason::user_shutdown);
    state_->actor = nullptr;
}

void MemberActor::post(membership::Input input)
{
    caf::anon_send(state_->actor, MemberInput{ std::move(input) });
}

MemberSnapshotPtr MemberActor::snapshot() const
{
    return state_->published.load();
}

void MemberActor::receive(std::string from, membership::Packet packet)
{
    if (state_->queuedDatagrams >= kMaxQueuedDatagrams)
        return;
    ++state_->queuedDatagrams;
    post(membership::PacketReceived{ std::move(from), std::move(packet) });
}

void MemberActor::receiveTable(std::vector<membership::Member> members)
{
    post(membership::TableReceived{ std::move(members) });
}

void MemberActor::setSeeds(std::vector<std::string> addresses)
{
    post(membership::SeedsChanged{ std::move(addresses) });
}

void MemberActor::setRevision(std::uint64_t revision, std::uint64_t storeEra)
{
    post(membership::RevisionChanged{ .revision = revision, .storeEra = storeEra });
}

void MemberActor::leave()
{
    post(membership::Leave{});
}

void MemberActor::exit()
{
    post(membership::Exit{});
}

} // namespace chervilfield::control
