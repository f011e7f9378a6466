#pragma once

#include "orders/identity.h"
#include "orders/order_attempt.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chervilfield::orders {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Limits of the tickets of one process life.
struct TicketOptions
{
    std::size_t capacity = 100'000;           ///< Maximum number of tickets kept at a time.
    std::size_t capacityPerCustomer = 20'000; ///< Keeps one customer from using the capacity.
    std::chrono::minutes lifetime{ 60 };      ///< Time from issue until a ticket is removed.
    std::size_t maxStoredBodyBytes = 65'536;  ///< Larger answers are not kept for retries.
};

/// State of a ticket and of the order placed with it.
enum class TicketState {
    Issued,     ///< The ticket has not been redeemed.
    Dispatched, ///< The order was or is being sent; the outcome is not known yet.
    Ran,        ///< The order was dispatched and answered.
    Undecided,  ///< The order was dispatched and no answer was received.
    Closed,     ///< The order was not dispatched and never will be.
};

/// Ticket and the order that was placed with it.
struct Ticket
{
    std::string customer;
    TicketState state = TicketState::Issued;
    SteadyTime expires;
    std::string fingerprint;      ///< Fingerprint of the request that redeemed the ticket.
    std::optional<Answer> answer; ///< Present in state `Ran`, unless it was too large.
};

/// Decision on a call that carries a ticket: dispatch it if `reply` is absent.
struct Redemption
{
    std::optional<Reply> reply;
};

/// Keeps the single-use tickets that one process life has issued. A ticket is the identity of at
/// most one order. It can be redeemed only in the life that issued it and is invalid afterwards, so
/// orders placed by ticket need no store. The state is kept in memory and ends with the life: a
/// retry at another life gets `unknown`. Not thread-safe.
///
/// Use: call `issue` for a new ticket and `redeem` for a call that carries one. If `redeem` says to
/// dispatch, call exactly one of `recordAnswer`, `recordAnswerLost` and `recordNotSent` afterwards.
/// For a call that is refused before dispatch call `close` instead of `redeem`.
class TicketRegistry
{
public:
    /// Creates an empty registry. `life` is unique over all process lives and a part of each
    /// ticket.
    explicit TicketRegistry(std::string life, TicketOptions options = {});

    /// Returns a new ticket of `customer`, or no value if a capacity is exhausted. `nonce` is a
    /// random number that keeps tickets from being guessed.
    std::optional<std::string> issue(std::string_view customer, std::uint64_t nonce,
                                     SteadyTime now);

    /// Redeems the ticket of `identity` for the request with the given fingerprint. Returns a
    /// decision to dispatch at most once per ticket. For a ticket that is not kept here the reply
    /// is `unknown` with the code `TicketUnknown`.
    Redemption redeem(const Identity &identity, std::string_view requestFingerprint,
                      SteadyTime now);

    /// Refuses a call with `code` and closes its ticket if no order was dispatched with it, so that
    /// a copy of the call that arrives later does not run. The result always has a reply.
    Redemption close(const Identity &identity, std::string_view requestFingerprint,
                     base::Result code, SteadyTime now);

    /// Records the answer of a dispatched order.
    void recordAnswer(const Identity &identity, Answer answer);
    /// Records that a dispatched order received no answer.
    void recordAnswerLost(const Identity &identity);
    /// Records that no byte of the order was sent.
    void recordNotSent(const Identity &identity);

    /// Returns the number of tickets kept.
    std::size_t size() const { return tickets_.size(); }

private:
    Ticket *find(const Identity &identity);
    std::optional<Reply> replyFor(const Identity &identity, std::string_view requestFingerprint,
                                  SteadyTime now);
    void removeExpired(SteadyTime now);

    std::string life_;
    TicketOptions options_;
    std::uint64_t issuedCount_ = 0;
    std::unordered_map<std::string, Ticket> tickets_;
    std::unordered_map<std::string, std::size_t> countByCustomer_;
    std::deque<std::string> valuesByExpiry_; ///< Oldest first; all tickets have the same lifetime.
};

} // namespace chervilfield::orders
