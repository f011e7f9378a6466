#pragma once

#include "orders/order_attempt.h"
#include "orders/own_intents.h"
#include "orders/tickets.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::traffic {

/// State of the calls that must not be repeated, shared by the traffic threads of one process: the
/// intents that the process has written and the tickets that it has issued. Safe to use from
/// several threads.
class OrderRegistry
{
public:
    /// `life` identifies this process life and is unique over all processes. `hasLifeEnded` returns
    /// true if another process life is known to have ended.
    OrderRegistry(std::string life, std::function<bool(const std::string &)> hasLifeEnded);

    /// Returns the life of this process.
    const std::string &life() const { return life_; }
    /// Returns true if and only if another process life is known to have ended.
    bool hasLifeEnded(const std::string &life) const { return hasLifeEnded_(life); }

    /// Applies an event to an attempt under the lock that guards the intents, and returns the
    /// actions to perform.
    std::vector<orders::Action> step(orders::Attempt &attempt, const orders::Event &event);

    /// Issues a ticket for one order. Returns no value if the capacity of the customer or of all
    /// customers is exhausted.
    std::optional<std::string> issueTicket(std::string_view customer);

    // The following functions call those of `orders::TicketRegistry` under the lock.

    orders::Redemption redeem(const orders::Identity &identity, std::string_view fingerprint);
    void recordAnswer(const orders::Identity &identity, orders::Answer answer);
    void recordAnswerLost(const orders::Identity &identity);
    void recordNotSent(const orders::Identity &identity);

private:
    std::string life_;
    std::function<bool(const std::string &)> hasLifeEnded_;
    std::mutex mutex_;
    orders::OwnIntents intents_;
    orders::TicketRegistry tickets_;
};

} // namespace chervilfield::traffic
