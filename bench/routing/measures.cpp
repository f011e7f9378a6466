#include "measures.h"

#include "prefix/chain.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::bench {

namespace {

constexpr Cost kHerdingInterval{ 0.1 };
constexpr Cost kRecoveryInterval{ 0.5 };
constexpr Cost kUnansweredTime{ 60 }; // Stands for infinitely late.

/// Calls `visit` with each arrival in the window and its outcome.
template<typename Visit>
void forEach(const RunResult &run, const Window &window, Visit visit)
{
    for (std::size_t i = 0; i < run.arrivals.size(); ++i) {
        const Arrival &arrival = run.arrivals[i];
        if (arrival.at < window.from || arrival.at >= window.until)
            continue;
        if (window.workClass && arrival.workClass != *window.workClass)
            continue;
        visit(arrival, run.outcomes[i]);
    }
}

} // namespace

double hitRate(const RunResult &run, const Window &window, std::optional<bool> restarted)
{
    double cached = 0;
    double all = 0;
    forEach(run, window, [&](const Arrival &arrival, const Outcome &outcome) {
        if (outcome.kind != OutcomeKind::Answered || (restarted && outcome.restarted != *restarted))
            return;
        cached += outcome.cachedTokens;
        all += static_cast<double>(arrival.chain.size() * prefix::kBlockTokens);
    });
    return all > 0 ? cached / all : 0;
}

Cost firstTokenQuantile(const RunResult &run, const Window &window, double quantile)
{
    std::vector<Cost> times;
    forEach(run, window, [&](const Arrival &, const Outcome &outcome) {
        times.push_back(outcome.kind == OutcomeKind::Answered ? outcome.firstToken
                                                              : kUnansweredTime);
    });
    if (times.empty())
        return Cost(0);
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
    std::ranges::nth_element(times, times.begin() + rank);
    return times[static_cast<std::size_t>(rank)];
}

double answeredShare(const RunResult &run, const Window &window)
{
    double answered = 0;
    double all = 0;
    forEach(run, window, [&](const Arrival &, const Outcome &outcome) {
        answered += outcome.kind == OutcomeKind::Answered ? 1 : 0;
        all += 1;
    });
    return all > 0 ? answered / all : 1;
}

double answersPerSecond(const RunResult &run, Cost from, Cost until)
{
    double answers = 0;
    forEach(run, {}, [&](const Arrival &arrival, const Outcome &outcome) {
        const Cost at = arrival.at + outcome.firstToken;
        if (outcome.kind == OutcomeKind::Answered && at >= from && at < until)
            answers += 1;
    });
    return answers / (until - from).count();
}

double herding(const RunResult &run, std::size_t engines)
{
    std::vector<double> counts(engines);
    Cost end = kHerdingInterval;
    double observed = 0;
    double expected = 0;
    const auto closeInterval = [&] {
        double all = 0;
        for (const double count : counts)
            all += count;
        const double mean = all / static_cast<double>(engines);
        for (const double count : counts)
            observed += (count - mean) * (count - mean);
        expected += all * (1 - 1 / static_cast<double>(engines));
        std::ranges::fill(counts, 0);
    };
    forEach(run, { .workClass = routing::WorkClass::Short },
            [&](const Arrival &arrival, const Outcome &outcome) {
                for (; arrival.at >= end; end += kHerdingInterval)
                    closeInterval();
                if (outcome.kind != OutcomeKind::Refused)
                    counts[outcome.target] += 1;
            });
    return expected > 0 ? observed / expected : 1;
}

Cost recoveryTime(const RunResult &run, Cost plateauStart, Cost peakStart, Cost peakEnd)
{
    const auto p90FirstToken = [&run](Cost from) {
        return firstTokenQuantile(run, { .from = from, .until = from + kRecoveryInterval }, 0.9);
    };
    Cost plateauMax{};
    for (Cost from = plateauStart; from + kRecoveryInterval <= peakStart; from += kRecoveryInterval)
        plateauMax = std::max(plateauMax, p90FirstToken(from));
    Cost recovered = peakEnd;
    for (Cost from = peakEnd; from + kRecoveryInterval <= run.arrivals.back().at;
         from += kRecoveryInterval) {
        if (p90FirstToken(from) > 1.5 * plateauMax)
            recovered = from + kRecoveryInterval;
    }
    return recovered - peakEnd;
}

} // namespace chervilfield::bench
