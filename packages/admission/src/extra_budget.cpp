#include "admission/extra_budget.h"

#include <algorithm>

namespace chervilfield::admission {

namespace {

void refill(ExtraBudget &budget, const ExtraBudgetOptions &options, TimePoint now)
{
    const std::chrono::duration<double> passed = now - budget.refilledAt;
    const bool started = budget.refilledAt != TimePoint{};
    budget.refilledAt = std::max(budget.refilledAt, now);
    if (started && passed.count() > 0)
        budget.saved = std::min(options.most, budget.saved + passed.count() * options.perSecond);
}

std::chrono::milliseconds timeToOne(const ExtraBudget &budget, const ExtraBudgetOptions &options)
{
    if (budget.saved >= 1 || options.perSecond <= 0)
        return std::chrono::milliseconds(0);
    const std::chrono::duration<double> wait((1 - budget.saved) / options.perSecond);
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

} // namespace

void earn(ExtraBudget &budget, const ExtraBudgetOptions &options, TimePoint now)
{
    refill(budget, options, now);
    budget.saved = std::min(options.most, budget.saved + options.perRequest);
}

std::optional<Refusal> takeRetry(ExtraBudget &customer, ExtraBudget &target,
                                 const ExtraBudgetOptions &options, TimePoint now)
{
    refill(customer, options, now);
    refill(target, options, now);
    if (customer.saved < 1 || target.saved < 1) {
        return Refusal{ .result = base::Result::RetryBudgetSpent,
                        .retryAfter = std::max(timeToOne(customer, options),
                                               timeToOne(target, options)) };
    }
    customer.saved -= 1;
    target.saved -= 1;
    return std::nullopt;
}

bool takeHedge(ExtraBudget &budget, const ExtraBudgetOptions &options, bool repeatable,
               TimePoint now)
{
    if (!repeatable)
        return false;
    refill(budget, options, now);
    if (budget.saved < 1)
        return false;
    budget.saved -= 1;
    return true;
}

ExtraBudget &budgetOf(ExtraBudgets &budgets, std::uint64_t id, const ExtraBudgetOptions &options,
                      TimePoint now)
{
    const std::chrono::duration<double> timeToFull(options.most / std::max(options.perSecond, 0.1));
    if (now - budgets.forgottenAt > timeToFull) {
        std::erase_if(budgets.budgets, [&](const auto &entry) {
            return now - entry.second.refilledAt > timeToFull;
        });
        budgets.forgottenAt = now;
    }
    return budgets.budgets.try_emplace(id, ExtraBudget{ .refilledAt = now }).first->second;
}

} // namespace chervilfield::admission
