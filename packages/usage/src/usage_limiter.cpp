#include "usage/usage_limiter.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::usage {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds the memory for balances of customers that this instance does not serve.
constexpr std::size_t kMaxUnusedBalances = 4096;
// Larger costs are implausible; doubles below the bound count single tokens exactly.
constexpr double kMaxCost = 1e12;

double elapsedSeconds(Time from, Time to)
{
    return std::max(0.0, Seconds(to - from).count());
}

} // namespace

double requestCost(const fleet::UsageLimit &limit, std::optional<double> statedTokens)
{
    if (limit.unit == fleet::CostUnit::Requests)
        return 1;
    const double tokens =
            statedTokens.has_value() && std::isfinite(*statedTokens) && *statedTokens >= 0
                    ? *statedTokens
                    : limit.defaultTokens;
    return std::isfinite(tokens) ? std::clamp(tokens, 0.0, kMaxCost) : 0;
}

bool isLimited(const fleet::UsageLimit &limit)
{
    return std::isfinite(limit.ratePerSecond) && std::isfinite(limit.burst)
           && limit.ratePerSecond > 0 && limit.burst > 0;
}

UsageLimiter::Account &UsageLimiter::account(const std::string &customer,
                                             const fleet::UsageLimit &limit)
{
    auto &account = accounts_[customer][static_cast<std::size_t>(limit.unit) % kUnits];
    if (!account) {
        account.emplace();
        account->key = customerKey(customer, limit.unit);
        account->limit = limit;
        accountsByKey_[account->key] = &*account;
        if (const auto unused = unusedBalances_.find(account->key);
            unused != unusedBalances_.end()) {
            account->balance = unused->second;
            unusedBalances_.erase(unused);
        }
    }
    if (account->limit != limit) {
        account->limit = limit;
        if (account->local) {
            account->local->capacity = std::min(account->local->capacity,
                                                limit.burst / static_cast<double>(knownInstances_));
        }
    }
    return *account;
}

bool UsageLimiter::hasUsableBalance(const Account &account, Time now) const
{
    if (!account.balance)
        return false;
    const double share = std::clamp(2 * account.balance->balance / account.limit.burst, 0.0, 1.0);
    const Seconds maxSilence =
            options_.minSilence + Seconds(options_.maxSilence - options_.minSilence) * share;
    const bool isSilent = account.unansweredSince && now - *account.unansweredSince > maxSilence;
    const bool isUnheard =
            account.unincludedSince && now - *account.unincludedSince > options_.maxUnincluded;
    return !isSilent && !isUnheard;
}

double UsageLimiter::estimateFromBalance(const Account &account, Time now)
{
    const Balance &last = *account.balance;
    const double refilled =
            last.balance + last.ratePerSecond * elapsedSeconds(last.receivedAt, now);
    const double unincluded = account.cost - account.refunded - last.includedCost;
    return std::min(refilled, account.limit.burst) - unincluded;
}

UsageLimiter::LocalShare UsageLimiter::startLocalShare(const Account &account, Time now) const
{
    const auto known = static_cast<double>(knownInstances_);
    const double minCapacity =
            account.limit.ratePerSecond / known * Seconds(options_.minLocalBurst).count();
    if (!account.balance) {
        return { .balance = 0,
                 .capacity = std::max(account.limit.burst / known, minCapacity),
                 .updatedAt = startedAt_ };
    }
    // All instances continue from the same balance, at the time when they lost contact.
    const Balance &last = *account.balance;
    const Time lostAt = std::min(now, account.unansweredSince.value_or(now));
    const double refilled =
            last.balance + last.ratePerSecond * elapsedSeconds(last.receivedAt, lostAt);
    const double share = std::min(refilled, account.limit.burst) / known;
    const double unincluded = account.cost - account.refunded - last.includedCost;
    // The usage before the loss of contact was admitted from the whole balance and may exceed the
    // share many times. The debt is limited, so that the customer is not refused for minutes.
    const double maxDebt =
            std::max(account.largestCost,
                     account.limit.ratePerSecond / known * Seconds(options_.maxLocalDebt).count());
    return { .balance = std::max(share - unincluded, std::min(share, -maxDebt)),
             .capacity = std::max(share, minCapacity),
             .updatedAt = lostAt };
}

double UsageLimiter::updateEstimate(Account &account, Time now) const
{
    if (hasUsableBalance(account, now)) {
        account.local.reset();
        return estimateFromBalance(account, now);
    }
    if (!account.local)
        account.local = startLocalShare(account, now);
    LocalShare &local = *account.local;
    const double rate = account.limit.ratePerSecond / static_cast<double>(knownInstances_);
    local.balance =
            std::min(local.capacity, local.balance + rate * elapsedSeconds(local.updatedAt, now));
    local.updatedAt = std::max(local.updatedAt, now);
    return local.balance;
}

std::optional<UsageRefusal> UsageLimiter::admit(const std::string &customer,
                                                const fleet::UsageLimit &limit, double cost,
                                                Time now)
{
    if (!isLimited(limit))
        return std::nullopt;
    cost = std::isfinite(cost) ? std::clamp(cost, 0.0, kMaxCost) : 0;
    Account &account = this->account(customer, limit);
    account.lastUsedAt = now;
    const double balance = updateEstimate(account, now);
    const bool isLocal = account.local.has_value();
    if (!isLocal && !account.resumeShare && balance < -options_.minResumeDebt * limit.burst)
        account.resumeShare = nextRandom() * options_.maxResumeShare;
    const double resumeAt =
            isLocal ? 0 : std::min(account.resumeShare.value_or(0), 1.0) * limit.burst;
    if (balance <= 0 || balance < resumeAt) {
        ++counters_.refused;
        counters_.refusedLocally += isLocal ? 1 : 0;
        return UsageRefusal{ .retryAfter = retryAfter(account, resumeAt - balance, cost, now),
                             .balance = balance };
    }
    account.resumeShare.reset();
    ++counters_.admitted;
    counters_.admittedLocally += isLocal ? 1 : 0;
    account.cost += cost;
    account.largestCost = std::max(account.largestCost, cost);
    if (isLocal)
        account.local->balance -= cost;
    if (!account.unansweredSince)
        account.unansweredSince = now;
    if (!account.unincludedSince)
        account.unincludedSince = now;
    return std::nullopt;
}

void UsageLimiter::refund(const std::string &customer, const fleet::UsageLimit &limit, double cost,
                          Time now)
{
    const auto found = accounts_.find(customer);
    if (found == accounts_.end() || !std::isfinite(cost) || cost <= 0)
        return;
    auto &account = found->second[static_cast<std::size_t>(limit.unit) % kUnits];
    if (!account)
        return;
    const double refund = std::min(cost, account->cost - account->refunded);
    if (refund <= 0)
        return;
    ++counters_.refunded;
    account->refunded += refund;
    account->lastUsedAt = now;
    if (account->local)
        account->local->balance =
                std::min(account->local->capacity, account->local->balance + refund);
}

std::vector<UsageTotal> UsageLimiter::totals(Time now) const
{
    std::vector<UsageTotal> totals;
    for (const auto &[key, account] : accountsByKey_) {
        if (!account->lastUsedAt || now - *account->lastUsedAt > options_.recentUse)
            continue;
        const double debt = account->local ? std::max(0.0, -account->local->balance) : 0;
        totals.push_back({ .customer = key,
                           .cost = account->cost,
                           .refunded = account->refunded,
                           .debt = debt });
    }
    return totals;
}

void UsageLimiter::applyBalances(std::span<const UsageBalance> balances, Time now)
{
    for (const UsageBalance &received : balances) {
        if (!std::isfinite(received.balance) || !std::isfinite(received.ratePerSecond)
            || !std::isfinite(received.includedCost) || received.ratePerSecond < 0) {
            ++counters_.ignoredBalances;
            continue;
        }
        const Balance balance{ .balance = received.balance,
                               .ratePerSecond = received.ratePerSecond,
                               .includedCost = received.includedCost,
                               .receivedAt = now };
        const auto found = accountsByKey_.find(received.customer);
        if (found == accountsByKey_.end()) {
            if (unusedBalances_.size() < kMaxUnusedBalances
                || unusedBalances_.contains(received.customer))
                unusedBalances_[received.customer] = balance;
            else
                ++counters_.ignoredBalances;
            continue;
        }
        Account &account = *found->second;
        const bool includesAll = account.cost - account.refunded <= balance.includedCost;
        const bool includesMore =
                !account.balance || balance.includedCost > account.balance->includedCost;
        account.balance = balance;
        if (includesAll) {
            account.unansweredSince.reset();
            account.unincludedSince.reset();
        } else {
            account.unansweredSince = now;
            if (includesMore || !account.unincludedSince)
                account.unincludedSince = now;
        }
    }
}

void UsageLimiter::setInstances(std::size_t live, std::size_t known)
{
    liveInstances_ = std::max<std::size_t>(live, 1);
    knownInstances_ = std::max(known, liveInstances_);
}

// Each refused caller is promised the time after those that this instance has refused before. The
// other instances refuse about as many, so a promise occupies the refill for its cost times the
// number of instances. Jitter of one such interval spreads the callers of all instances evenly.
std::chrono::milliseconds UsageLimiter::retryAfter(Account &account, double missing, double cost,
                                                   Time now)
{
    const auto sharers = static_cast<double>(account.local ? knownInstances_ : liveInstances_);
    double rate = account.limit.ratePerSecond;
    if (!account.local && account.balance && account.balance->ratePerSecond > 0)
        rate = account.balance->ratePerSecond;
    const Seconds maxWait(options_.maxRetryAfter);
    // A local balance is refilled only by its share of the rate.
    const Seconds recovery(missing * (account.local ? sharers : 1) / rate);
    const Seconds interval = std::min(maxWait, Seconds(cost * sharers / rate));
    const Seconds promised(account.nextReturnAt - now);
    const Seconds start = std::clamp(std::max(recovery, promised), Seconds(0), maxWait);
    const Seconds next = std::min(maxWait, start + interval);
    account.nextReturnAt = now + std::chrono::duration_cast<Time::duration>(next);
    const Seconds wait = std::min(maxWait, start + interval * nextRandom());
    return std::max(std::chrono::milliseconds(1),
                    std::chrono::ceil<std::chrono::milliseconds>(wait));
}

// Returns a number from 0 to below 1, by SplitMix64.
double UsageLimiter::nextRandom()
{
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

} // namespace chervilfield::usage
