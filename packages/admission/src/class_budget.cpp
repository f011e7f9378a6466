#include "admission/class_budget.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

constexpr auto kShort = static_cast<std::size_t>(WorkClass::Short);
constexpr auto kLong = static_cast<std::size_t>(WorkClass::Long);

std::uint64_t part(std::uint64_t value, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(value) * share);
}

std::uint64_t excess(std::uint64_t value, std::uint64_t limit)
{
    return value > limit ? value - limit : 0;
}

/// Returns what a class has left: its own limit plus what it borrows, or minus what it has lent.
/// Short work in excess of the short limit runs on borrowed long budget.
std::uint64_t available(WorkClass workClass, std::uint64_t shortLimit, std::uint64_t shortUse,
                        std::uint64_t longLimit, std::uint64_t longUse, double lendableLongShare)
{
    const std::uint64_t borrowed = excess(shortUse, shortLimit);
    if (workClass == WorkClass::Long)
        return excess(longLimit, longUse + borrowed);
    const std::uint64_t lendable =
            std::min(part(longLimit, lendableLongShare), excess(longLimit, longUse));
    return excess(shortLimit + lendable, shortUse);
}

} // namespace

void setLimits(TargetBudget &budget, ClassLimit total, const ClassShares &shares)
{
    const double share = std::clamp(shares.shortShare, 0.0, 1.0);
    budget.lendableLongShare = std::clamp(shares.lendableLongShare, 0.0, 1.0);
    ClassLimit &shortLimit = budget.limits[kShort];
    ClassLimit &longLimit = budget.limits[kLong];
    shortLimit.concurrency =
            std::max(1U, static_cast<std::uint32_t>(part(total.concurrency, share)));
    longLimit.concurrency = std::max(
            1U, static_cast<std::uint32_t>(excess(total.concurrency, shortLimit.concurrency)));
    shortLimit.prefillTokens = part(total.prefillTokens, share);
    longLimit.prefillTokens = total.prefillTokens - shortLimit.prefillTokens;
}

bool canReserve(const TargetBudget &budget, WorkClass workClass, std::uint64_t prefillTokens)
{
    const ClassLimit &shortLimit = budget.limits[kShort];
    const ClassLimit &longLimit = budget.limits[kLong];
    const ClassUsage &shortUse = budget.usage[kShort];
    const ClassUsage &longUse = budget.usage[kLong];
    if (available(workClass, shortLimit.concurrency, shortUse.running, longLimit.concurrency,
                  longUse.running, budget.lendableLongShare)
        == 0)
        return false;
    if (budget.usage[static_cast<std::size_t>(workClass)].prefillTokens == 0)
        return true;
    return prefillTokens <= available(workClass, shortLimit.prefillTokens, shortUse.prefillTokens,
                                      longLimit.prefillTokens, longUse.prefillTokens,
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
