#include "orders/tickets.h"

#include "base/hash.h"

#include <utility>

namespace chervilfield::orders {

using base::Result;
using base::WorkStatus;

namespace {

Reply replyWithoutAnswer(WorkStatus work, Result code)
{
    return { .work = work, .code = code, .answer = std::nullopt };
}

} // namespace

TicketRegistry::TicketRegistry(std::string life, TicketOptions options)
    : life_(std::move(life)), options_(options)
{
}

std::optional<std::string> TicketRegistry::issue(std::string_view customer, std::uint64_t nonce,
                                                 SteadyTime now)
{
    removeExpired(now);
    std::size_t &count = countByCustomer_[std::string(customer)];
    if (tickets_.size() >= options_.capacity || count >= options_.capacityPerCustomer)
        return std::nullopt;
    ++count;
    std::string value = life_ + '.' + base::toHex(++issuedCount_) + '.' + base::toHex(nonce);
    tickets_.emplace(value, Ticket{ .customer = std::string(customer),
                                    .state = TicketState::Issued,
                                    .expires = now + options_.lifetime,
                                    .fingerprint = {},
                                    .answer = std::nullopt });
    valuesByExpiry_.push_back(value);
    return value;
}

Redemption TicketRegistry::redeem(const Identity &identity, std::string_view requestFingerprint,
                                  SteadyTime now)
{
    if (auto reply = replyFor(identity, requestFingerprint, now))
        return { std::move(reply) };
    Ticket *ticket = find(identity);
    ticket->state = TicketState::Dispatched;
    ticket->fingerprint = requestFingerprint;
    return {};
}

Redemption TicketRegistry::close(const Identity &identity, std::string_view requestFingerprint,
                                 Result code, SteadyTime now)
{
    if (auto reply = replyFor(identity, requestFingerprint, now))
        return { std::move(reply) };
    Ticket *ticket = find(identity);
    ticket->state = TicketState::Closed;
    ticket->fingerprint = requestFingerprint;
    return { replyWithoutAnswer(WorkStatus::NotRun, code) };
}

void TicketRegistry::recordAnswer(const Identity &identity, Answer answer)
{
    Ticket *ticket = find(identity);
    if (!ticket || ticket->state != TicketState::Dispatched)
        return;
    ticket->state = TicketState::Ran;
    if (answer.body.size() <= options_.maxStoredBodyBytes)
        ticket->answer = std::move(answer);
}

void TicketRegistry::recordAnswerLost(const Identity &identity)
{
    Ticket *ticket = find(identity);
    if (ticket && ticket->state == TicketState::Dispatched)
        ticket->state = TicketState::Undecided;
}

void TicketRegistry::recordNotSent(const Identity &identity)
{
    Ticket *ticket = find(identity);
    if (ticket && ticket->state == TicketState::Dispatched)
        ticket->state = TicketState::Closed;
}

Ticket *TicketRegistry::find(const Identity &identity)
{
    if (identity.kind != IdentityKind::Ticket)
        return nullptr;
    const auto found = tickets_.find(identity.value);
    if (found == tickets_.end() || found->second.customer != identity.customer)
        return nullptr;
    return &found->second;
}

/// Returns the reply to a call whose ticket cannot be redeemed, or no value if it can.
std::optional<Reply> TicketRegistry::replyFor(const Identity &identity,
                                              std::string_view requestFingerprint, SteadyTime now)
{
    removeExpired(now);
    const Ticket *ticket = find(identity);
    if (!ticket) {
        // The ticket may be of another life or have expired; its order may have run in either case.
        return replyWithoutAnswer(WorkStatus::Unknown, Result::TicketUnknown);
    }
    if (ticket->state == TicketState::Issued)
        return std::nullopt;
    if (ticket->fingerprint != requestFingerprint)
        return replyWithoutAnswer(WorkStatus::NotRun, Result::FingerprintMismatch);
    switch (ticket->state) {
    case TicketState::Issued:
    case TicketState::Dispatched:
        break;
    case TicketState::Ran:
        if (ticket->answer) {
            return Reply{ .work = WorkStatus::Ran, .code = Result::Ok, .answer = ticket->answer };
        }
        return replyWithoutAnswer(WorkStatus::Ran, Result::TicketSpent);
    case TicketState::Undecided:
        return replyWithoutAnswer(WorkStatus::Unknown, Result::OrderUndecided);
    case TicketState::Closed:
        return replyWithoutAnswer(WorkStatus::NotRun, Result::OrderClosed);
    }
    return replyWithoutAnswer(WorkStatus::Unknown, Result::OrderInProgress);
}

void TicketRegistry::removeExpired(SteadyTime now)
{
    while (!valuesByExpiry_.empty()) {
        const auto found = tickets_.find(valuesByExpiry_.front());
        if (found->second.expires > now)
            return;
        const auto count = countByCustomer_.find(found->second.customer);
        if (--count->second == 0)
            countByCustomer_.erase(count);
        tickets_.erase(found);
        valuesByExpiry_.pop_front();
    }
}

} // namespace chervilfield::orders
