#include "traffic/order_registry.h"

#include <chrono>
#include <random>

namespace chervilfield::traffic {

using std::chrono::steady_clock;
using std::chrono::system_clock;

OrderRegistry::OrderRegistry(std::string life,
                             std::function<bool(const std::string &)> hasLifeEnded)
    : life_(std::move(life)), hasLifeEnded_(std::move(hasLifeEnded)), tickets_(life_)
{
}

std::vector<orders::Action> OrderRegistry::step(orders::Attempt &attempt,
                                                const orders::Event &event)
{
    const std::lock_guard lock(mutex_);
    return orders::step(attempt, intents_, event, system_clock::now());
}

std::optional<std::string> OrderRegistry::issueTicket(std::string_view customer)
{
    std::random_device source;
    const std::uint64_t nonce = (static_cast<std::uint64_t>(source()) << 32U) | source();
    const std::lock_guard lock(mutex_);
    return tickets_.issue(customer, nonce, steady_clock::now());
}

orders::Redemption OrderRegistry::redeem(const orders::Identity &identity,
                                         std::string_view fingerprint)
{
    const std::lock_guard lock(mutex_);
    return tickets_.redeem(identity, fingerprint, steady_clock::now());
}

void OrderRegistry::recordAnswer(const orders::Identity &identity, orders::Answer answer)
{
    const std::lock_guard lock(mutex_);
    tickets_.recordAnswer(identity, std::move(answer));
}

void OrderRegistry::recordAnswerLost(const orders::Identity &identity)
{
    const std::lock_guard lock(mutex_);
    tickets_.recordAnswerLost(identity);
}

void OrderRegistry::recordNotSent(const orders::Identity &identity)
{
    const std::lock_guard lock(mutex_);
    tickets_.recordNotSent(identity);
}

} // namespace chervilfield::traffic
