#include "admission/class_budget.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

constexpr auto kShort = static_cast<std::size_t>(WorkClass::Short);
constexpr auto kLong = static_cast<std::size_t>(WorkClass::Long);

std::uint64_t fractionOf(std::uint64_t value, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(value) * share);
}

std::uint64_t saturatingSubtract(std::uint64_t value, std::uint64_t subtrahend)
{
    return value > subtrahend ? value - subtrahend : 0;
}

/// Returns the budget that a class has left: the short class may add idle long budget, and the long
/// class lacks what it has lent. Short usage above the short limit is borrowed long budget.
std::uint64_t available(WorkClass workClass, std::uint64_t shortLimit, std::uint64_t shortUsage,
                        std::uint64_t longLimit, std::uint64_t longUsage, double lendableLongShare)
{
    const std::uint64_t borrowed = saturatingSubtract(shortUsage, shortLimit);
    if (workClass == WorkClass::Long)
        return saturatingSubtract(longLimit, longUsage + borrowed);
    const std::uint64_t lendable = std::min(fractionOf(longLimit, lendableLongShare),
                                            saturatingSubtract(longLimit, longUsage));
    return saturatingSubtract(shortLimit + lendable, shortUsage);
}

} // namespace

void setLimits(TargetBudget &budget, ClassLimit total, const ClassShares &shares)
{
    const double share = std::clamp(shares.shortShare, 0.0, 1.0);
    budget.lendableLongShare = std::clamp(shares.lendableLongShare, 0.0, 1.0);
    ClassLimit &shortLimit = budget.limits[kShort];
    ClassLimit &longLimit = budget.limits[kLong];
    shortLimit.concurrency =
            std::max(1U, static_cast<std::uint32_t>(fractionOf(total.concurrency, share)));
    longLimit.concurrency = std::max(1U, static_cast<std::uint32_t>(saturatingSubtract(
                                                 total.concurrency, shortLimit.concurrency)));
    shortLimit.prefillTokens = fractionOf(total.prefillTokens, share);
    longLimit.prefillTokens = total.prefillTokens - shortLimit.prefillTokens;
}

bool canReserve(const TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens)
{
    const ClassLimit &shortLimit = budget.limits[kShort];
    const ClassLimit &longLimit = budget.limits[kLong];
    const ClassUsage &shortUsage = budget.usage[kShort];
    const ClassUsage &longUsage = budget.usage[kLong];
    if (available(workClass, shortLimit.concurrency, shortUsage.running, longLimit.concurrency,
                  longUsage.running, budget.lendableLongShare)
        == 0)
        return false;
    if (budget.usage[static_cast<std::size_t>(workClass)].prefillTokens == 0)
        return true;
    return prefillTokens <= available(workClass, shortLimit.prefillTokens, shortUsage.prefillTokens,
                                      longLimit.prefillTokens, longUsage.prefillTokens,
                                      budget.lendableLongShare);
}

bool tryReserve(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens)
{
    if (!canReserve(budget, workClass, prefillTokens))
        return false;
    ClassUsage &usage = budget.usage[static_cast<std::size_t>(workClass)];
    ++usage.running;
    usage.prefillTokens += prefillTokens;
    return true;
}

void finishPrefill(TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens)
{
    ClassUsage &usage = budget.usage[static_cast<std::size_t>(workClass)];
    usage.prefillTokens -= std::min(usage.prefillTokens, prefillTokens);
}

void release(TargetBudget &budget, WorkClass workClass)
{
    ClassUsage &usage = budget.usage[static_cast<std::size_t>(workClass)];
    usage.running -= std::min(usage.running, 1U);
}

} // namespace chervilfield::admission
