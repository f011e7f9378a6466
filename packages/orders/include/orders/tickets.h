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
    std::size_t capacity = 100'000;           ///< Most tickets that are remembered.
    std::size_t capacityPerCustomer = 20'000; ///< Keeps one customer from using all of them.
    std::chrono::minutes lifetime{ 60 };      ///< Time from issue until a ticket is forgotten.
    std::size_t maxStoredBodyBytes = 65'536; ///< Larger answers are not kept for retries, in bytes.
};

enum class TicketState {
    Issued,
    Dispatched,
    Ran,
    Undecided, ///< Dispatched, and no answer was received.
    Closed,    ///< Not dispatched, and never will be.
};

/// One ticket and the order that was placed with it.
struct Ticket
{
    std::string customer;
    TicketState state = TicketState::Issued;
    SteadyTime expires;
    std::string fingerprint;      ///< Of the request that redeemed the ticket.
    std::optional<Answer> answer; ///< In state `Ran`, unless it was too large.
};

/// What to do with a call that carries a ticket: dispatch it if `reply` is absent.
struct Redemption
{
    std::optional<Reply> reply;
};

/// The single-use tickets that one process life has issued. A ticket is the identity of at most one
/// order. It can be redeemed only in the life that issued it and is worthless afterwards, so orders
/// placed by ticket need no store. The state is lost with the life: a retry at another life gets
/// `unknown`. Not thread-safe.
///
/// Use: `issue`; for a call with a ticket `redeem`; if it says to dispatch, exactly one of
/// `recordAnswer`, `recordAnswerLost` and `recordNotSent` afterwards. A call that is refused before
/// dispatch goes to `close` instead of `redeem`.
class TicketRegistry
{
public:
    /// `life` names the process life; `options` are its limits.
    explicit TicketRegistry(std::string life, TicketOptions options = {});

    /// Returns a new ticket of `customer`. `nonce` is a random number that makes the ticket
    /// unguessable. Returns nothing if a capacity is exhausted.
    std::optional<std::string> issue(std::string_view customer, std::uint64_t nonce,
                                     SteadyTime now);

    /// Redeems the ticket of `identity` for the request with the fingerprint `print`. Returns a
    /// decision to dispatch at most once per ticket.
    Redemption redeem(const Identity &identity, std::string_view print, SteadyTime now);

    /// Refuses a call with `code` and closes its ticket if no order was dispatched with it, so that
    /// a copy of the call that arrives later does not run. The result has a reply.
    Redemption close(const Identity &identity, std::string_view print, base::Result code,
                     SteadyTime now);

    /// Records the answer of a dispatched order.
    void recordAnswer(const Identity &identity, Answer answer);
    /// Records that a dispatched order received no answer.
    void recordAnswerLost(const Identity &identity);
    /// Records that no byte of the order was sent.
    void recordNotSent(const Identity &identity);

    std::size_t size() const { return tickets_.size(); }

private:
    Ticket *find(const Identity &identity);
    std::optional<Reply> replyFor(const Identity &identity, std::string_view print, SteadyTime now);
    void forgetExpired(SteadyTime now);

    std::string life_;
    TicketOptions options_;
    std::uint64_t issued_ = 0;
    std::unordered_map<std::string, Ticket> tickets_;
    std::unordered_map<std::string, std::size_t> perCustomer_;
    std::deque<std::string> byExpiry_; ///< Oldest first; all tickets have the same lifetime.
};

} // namespace chervilfield::orders
