#include "peers/hint_exchange.h"

#include <algorithm>
#include <utility>

namespace chervilfield::peers {

namespace {

// Size of the IPv4 and UDP headers.
constexpr double kHeaderBytes = 28;

} // namespace

HintExchange::HintExchange(std::string self, std::string dataCentre, Send send,
                           HintExchangeOptions options)
    : self_(std::move(self)), dataCentre_(std::move(dataCentre)), send_(std::move(send)),
      options_(options)
{
}

void HintExchange::send(const std::vector<membership::Member> &members, const PlacementHints &hints,
                        Clock::time_point now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(refilledAt_, now);
    budgetBytes_ = std::min(options_.maxBurstBytes,
                            budgetBytes_ + elapsed.count() * options_.maxBytesPerSecond);
    if (hints.hints.empty())
        return;
    const auto encoded = peers::encode(hints);
    if (!encoded.has_value())
        return;
    const double bytes = static_cast<double>(encoded->size()) + kHeaderBytes;
    for (const std::string &address : receivers(members)) {
        if (budgetBytes_ < bytes)
            return;
        budgetBytes_ -= bytes;
        send_(address, hints);
    }
}

// Returns the addresses of the other members that can take work, those of this data centre first.
// The order within each group rotates with each call, so that every member receives hints in turn
// when the bandwidth limit does not suffice for all.
std::vector<std::string> HintExchange::receivers(const std::vector<membership::Member> &members)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const membership::Member &member : members) {
        if (member.name != self_ && membership::canTakeWork(member))
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

} // namespace chervilfield::peers
