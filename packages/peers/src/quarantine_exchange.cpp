#include "peers/quarantine_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilfield::peers {

namespace {

// Size of the IPv4 and UDP headers.
constexpr double kHeaderBytes = 28;
constexpr std::size_t kMaxPendingInnocent = 10 * kMaxInnocentParts;
constexpr std::size_t kMaxRecordedInnocent = 4096;

// Returns the addresses of the members except `self` for which `condition` holds.
template<typename Condition>
std::vector<std::string> addressesOf(const std::vector<membership::Member> &members,
                                     const std::string &self, Condition condition)
{
    std::vector<std::string> addresses;
    for (const membership::Member &member : members) {
        if (member.name != self && condition(member))
            addresses.push_back(member.peerAddress);
    }
    return addresses;
}

bool isNotDead(const membership::Member &member)
{
    return member.state != membership::MemberState::Dead;
}

double sizeOf(const Datagram &datagram)
{
    const auto bytes = encode(datagram);
    return kHeaderBytes + static_cast<double>(bytes ? bytes->size() : 0);
}

std::vector<quarantine::CrashReport> split(const quarantine::CrashReport &report)
{
    std::vector<quarantine::CrashReport> pieces{ { .run = report.run, .suspects = {} } };
    std::size_t partCount = 0;
    for (quarantine::SuspectRequest suspect : report.suspects) {
        suspect.parts.resize(std::min(suspect.parts.size(), kMaxSuspectParts));
        partCount += suspect.parts.size();
        if (pieces.back().suspects.size() == kMaxSuspectRequests || partCount > kMaxSuspectParts) {
            pieces.push_back({ .run = report.run, .suspects = {} });
            partCount = suspect.parts.size();
        }
        pieces.back().suspects.push_back(std::move(suspect));
    }
    return pieces;
}

std::vector<QuarantinedParts> split(const std::vector<SharedQuarantine> &quarantines)
{
    std::vector<QuarantinedParts> pieces;
    for (const SharedQuarantine &quarantine : quarantines) {
        if (pieces.empty() || pieces.back().parts.size() == kMaxQuarantinedParts)
            pieces.emplace_back();
        pieces.back().parts.push_back(quarantine);
    }
    return pieces;
}

} // namespace

QuarantineExchange::QuarantineExchange(std::string self, Send send, std::uint64_t randomSeed,
                                       QuarantineExchangeOptions options)
    : self_(std::move(self)), send_(std::move(send)), options_(options), random_(randomSeed),
      requestsLeft_(options.requestCount)
{
}

void QuarantineExchange::announceCrash(const std::vector<membership::Member> &members,
                                       const quarantine::CrashReport &report, Clock::time_point now)
{
    refill(now);
    for (const quarantine::CrashReport &piece : split(report)) {
        broadcast(members, piece);
        repeats_.push_back({ now + options_.repeatDelay, piece });
    }
}

void QuarantineExchange::addInnocent(std::span<const quarantine::PartKey> parts,
                                     Clock::time_point now)
{
    recordInnocent(parts, now);
    for (const quarantine::PartKey part : parts) {
        if (innocent_.size() < kMaxPendingInnocent)
            innocent_.insert(part);
    }
}

void QuarantineExchange::announceQuarantines(const std::vector<membership::Member> &members,
                                             const std::vector<SharedQuarantine> &quarantines,
                                             Clock::time_point now)
{
    refill(now);
    for (const QuarantinedParts &piece : split(quarantines)) {
        broadcast(members, piece);
        repeats_.push_back({ now + options_.repeatDelay, piece });
    }
}

void QuarantineExchange::tick(const std::vector<membership::Member> &members,
                              std::vector<SharedQuarantine> quarantines, Clock::time_point now)
{
    quarantines_ = std::move(quarantines);
    std::erase_if(innocentAt_, [&](const auto &entry) {
        return now - entry.second >= options_.innocentLifetime;
    });
    refill(now);
    while (!repeats_.empty() && repeats_.front().dueAt <= now) {
        broadcast(members, repeats_.front().datagram);
        repeats_.pop_front();
    }
    if (!innocent_.empty())
        sendInnocent(members);
    if (now - pushedAt_ >= options_.pushInterval) {
        pushedAt_ = now;
        push(members);
    }
}

void QuarantineExchange::receive(const std::string &from, const QuarantinedParts &message,
                                 Clock::time_point now)
{
    if (message.parts.empty()) {
        for (const QuarantinedParts &piece : split(quarantines_))
            send_(from, piece);
        return;
    }
    InnocentParts reply;
    for (const SharedQuarantine &shared : message.parts) {
        const auto found = innocentAt_.find(shared.part.part);
        if (found != innocentAt_.end() && now - found->second < options_.innocentLifetime)
            reply.parts.push_back(shared.part.part);
    }
    if (!reply.parts.empty())
        send_(from, reply);
}

void QuarantineExchange::receive(const InnocentParts &message, Clock::time_point now)
{
    recordInnocent(message.parts, now);
}

void QuarantineExchange::recordInnocent(std::span<const quarantine::PartKey> parts,
                                        Clock::time_point now)
{
    for (const quarantine::PartKey part : parts) {
        if (innocentAt_.size() < kMaxRecordedInnocent || innocentAt_.contains(part))
            innocentAt_[part] = now;
    }
}

void QuarantineExchange::refill(Clock::time_point now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(refilledAt_, now);
    budgetBytes_ = std::min(options_.maxBurstBytes,
                            budgetBytes_ + elapsed.count() * options_.maxBytesPerSecond);
}

void QuarantineExchange::broadcast(const std::vector<membership::Member> &members,
                                   const Datagram &datagram)
{
    auto addresses = addressesOf(members, self_, isNotDead);
    if (addresses.empty())
        return;
    // Different members miss a broadcast each time the limit does not suffice for all.
    const auto first = static_cast<std::ptrdiff_t>(++rotation_ % addresses.size());
    std::rotate(addresses.begin(), addresses.begin() + first, addresses.end());
    const double bytes = sizeOf(datagram);
    const bool isLimited = !std::holds_alternative<QuarantinedParts>(datagram);
    for (const std::string &address : addresses) {
        if (isLimited && budgetBytes_ < bytes)
            return;
        budgetBytes_ -= bytes;
        send_(address, datagram);
    }
}

void QuarantineExchange::sendInnocent(const std::vector<membership::Member> &members)
{
    InnocentParts message;
    const auto end =
            std::next(innocent_.begin(),
                      static_cast<std::ptrdiff_t>(std::min(innocent_.size(), kMaxInnocentParts)));
    message.parts.assign(innocent_.begin(), end);
    const double bytes = sizeOf(message) * static_cast<double>(members.size());
    if (budgetBytes_ < std::min(bytes, options_.maxBurstBytes))
        return;
    innocent_.erase(innocent_.begin(), end);
    broadcast(members, message);
}

void QuarantineExchange::push(const std::vector<membership::Member> &members)
{
    const auto addresses = addressesOf(members, self_, membership::canTakeWork);
    std::vector<std::string> receivers;
    std::ranges::sample(addresses, std::back_inserter(receivers),
                        static_cast<std::ptrdiff_t>(options_.pushReceivers), random_);
    if (receivers.empty()) {
        // The first member that becomes known receives the requests without a delay.
        pushedAt_ = {};
        return;
    }
    const bool isRequest = requestsLeft_ > 0;
    requestsLeft_ -= isRequest ? 1 : 0;
    for (const std::string &receiver : receivers) {
        if (isRequest)
            send_(receiver, QuarantinedParts{});
        for (const QuarantinedParts &piece : split(quarantines_))
            send_(receiver, piece);
    }
}

} // namespace chervilfield::peers
