#include "daemon/hint_exchange.h"

#include <algorithm>
#include <utility>

namespace chervilfield::daemon {

namespace {

// IP and UDP headers.
constexpr double kHeaderBytes = 28;

peers::PlacementHints toMessage(const std::vector<routing::PlacementHint> &hints)
{
    peers::PlacementHints message;
    message.hints.reserve(hints.size());
    for (const routing::PlacementHint &hint : hints)
        message.hints.push_back({ hint.prefix, hint.target, hint.life });
    return message;
}

} // namespace

HintExchange::HintExchange(std::string self, std::string dataCentre, Send send,
                           HintExchangeOptions options)
    : self_(std::move(self)), dataCentre_(std::move(dataCentre)), send_(std::move(send)),
      options_(options)
{
}

void HintExchange::send(const std::vector<membership::Member> &members,
                        const std::vector<routing::PlacementHint> &hints, Clock::time_point now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(refilled_, now);
    budget_ = std::min(options_.burstBytes, budget_ + elapsed.count() * options_.bytesPerSecond);
    if (hints.empty())
        return;
    const peers::PlacementHints message = toMessage(hints);
    const auto encoded = peers::encode(message);
    if (!encoded.has_value())
        return;
    const double bytes = static_cast<double>(encoded->size()) + kHeaderBytes;
    for (const std::string &address : receivers(members)) {
        if (budget_ < bytes)
            return;
        budget_ -= bytes;
        send_(address, message);
    }
}

// Returns the other members' addresses, those of this data centre first. The order within a group
// rotates, so that a budget that is too small for all reaches each in turn.
std::vector<std::string> HintExchange::receivers(const std::vector<membership::Member> &members)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const membership::Member &member : members) {
        if (member.name != self_ && membership::takesWork(member))
            (member.dataCentre == dataCentre_ ? local : remote).push_back(member.peerAddress);
    }
    ++rotation_;
    for (auto *group : { &local, &remote }) {
        if (group->empty())
            continue;
        const auto first = static_cast<std::ptrdiff_t>(rotation_ % group->size());
        std::rotate(group->begin(), group->begin() + first, group->end());
    }
    local.insert(local.end(), remote.begin(), remote.end());
    return local;
}

std::vector<routing::PlacementHint> toRoutingHints(const peers::PlacementHints &hints)
{
    std::vector<routing::PlacementHint> result;
    result.reserve(hints.hints.size());
    for (const peers::PlacementHint &hint : hints.hints)
        result.push_back({ .prefix = hint.prefix, .target = hint.target, .life = hint.life });
    return result;
}

} // namespace chervilfield::daemon
