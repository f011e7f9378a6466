#include "peers/performance_exchange.h"

#include <algorithm>
#include <utility>

namespace chervilfield::peers {

namespace {

// Size of the IPv4 and UDP headers.
constexpr double kHeaderBytes = 28;
// The token bucket holds the largest message, which is sent at once.
constexpr double kMaxBudgetBytes = static_cast<double>(kMaxDatagramBytes) + kHeaderBytes;

} // namespace

PerformanceExchange::PerformanceExchange(std::string self, std::uint64_t seed, Send send,
                                         PerformanceExchangeOptions options)
    : self_(std::move(self)), send_(std::move(send)), options_(options), random_(seed)
{
}

void PerformanceExchange::refill(Clock::time_point now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(refilledAt_, now);
    budgetBytes_ = std::clamp(budgetBytes_ + elapsed.count() * options_.maxBytesPerSecond, 0.0,
                              kMaxBudgetBytes);
}

bool PerformanceExchange::isDue(Clock::time_point now)
{
    refill(now);
    return now - sentAt_ >= options_.interval && budgetBytes_ >= kMaxBudgetBytes;
}

void PerformanceExchange::send(const std::vector<membership::Member> &members,
                               const PerformanceFigures &figures, Clock::time_point now)
{
    refill(now);
    sentAt_ = now;
    if (figures.figures.empty())
        return;
    const auto encoded = peers::encode(figures);
    if (!encoded.has_value())
        return;
    const double bytes = static_cast<double>(encoded->size()) + kHeaderBytes;
    std::vector<std::string> addresses;
    for (const membership::Member &member : members) {
        if (member.name != self_ && membership::canTakeWork(member))
            addresses.push_back(member.peerAddress);
    }
    std::ranges::shuffle(addresses, random_);
    addresses.resize(std::min(addresses.size(), options_.maxReceivers));
    for (const std::string &address : addresses) {
        if (budgetBytes_ < bytes)
            return;
        budgetBytes_ -= bytes;
        send_(address, figures);
    }
}

} // namespace chervilfield::peers
