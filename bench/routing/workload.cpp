#include "workload.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chervilfield::bench {

namespace {

using routing::Random;
using routing::WorkClass;

constexpr double kPeakFactor = 3;
constexpr Cost kPeakRampTime{ 2 };
constexpr double kStragglerShare = 0.01;
constexpr std::uint32_t kStragglerFactor = 10;

/// Draws ranks from 0 with probability proportional to 1 / (rank + 1)^skew.
std::discrete_distribution<std::size_t> zipf(std::size_t count, double skew)
{
    std::vector<double> weights(count);
    for (std::size_t i = 0; i < count; ++i)
        weights[i] = std::pow(static_cast<double>(i + 1), -skew);
    return { weights.begin(), weights.end() };
}

/// Returns the demand at a time relative to the mean of the plateau.
double demandFactor(const Workload &workload, Cost at)
{
    // Two sine waves with incommensurate periods; together they change demand by up to 35%.
    const double variation = 1 + 0.2 * std::sin(2 * std::numbers::pi * at.count() / 7)
                             + 0.15 * std::sin(2 * std::numbers::pi * at.count() / 2.3);
    if (workload.peakEnd <= Cost(0))
        return variation;
    if (at < workload.peakStart || at >= workload.peakEnd)
        return 1;
    const double rampShare = std::min(1.0, (at - workload.peakStart) / kPeakRampTime);
    return 1 + (kPeakFactor - 1) * rampShare;
}

std::uint32_t uniform(Random &random, std::uint32_t low, std::uint32_t high)
{
    return std::uniform_int_distribution<std::uint32_t>(low, high)(random);
}

/// Popularity distributions of the three levels of shared prefixes.
struct Popularity
{
    std::discrete_distribution<std::size_t> dossier;
    std::discrete_distribution<std::size_t> school;
    std::discrete_distribution<std::size_t> badge;
};

/// Returns the block hashes of a random prompt, and its dossier in `dossier`.
std::vector<std::uint64_t> drawChain(const Workload &workload, Popularity &popularity, Cost at,
                                     Random &random, std::size_t &dossier)
{
    const auto shift = static_cast<std::size_t>(at / workload.hotSetInterval);
    // The ranks shift by 7 dossiers in each hot set interval, so that formerly popular dossiers
    // become rare.
    dossier = (popularity.dossier(random) + 7 * shift) % workload.dossiers;
    const std::size_t path[] = { dossier, popularity.school(random), popularity.badge(random) };
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = base::combineHash(workload.seed, 0x636861696eULL);
    for (std::size_t level = 0; level < std::size(path); ++level) {
        for (std::uint32_t block = 0; block < kLevelBlocks[level]; ++block) {
            hash = base::combineHash(hash, path[level] * 16 + block);
            chain.push_back(hash);
        }
    }
    return chain;
}

} // namespace

std::size_t sharedBlocks(const Workload &workload)
{
    return workload.dossiers
           * (kLevelBlocks[0]
              + workload.schools * (kLevelBlocks[1] + workload.badges * kLevelBlocks[2]));
}

std::vector<Arrival> generateArrivals(const Workload &workload)
{
    Random random(workload.seed);
    Popularity popularity{ zipf(workload.dossiers, workload.skew),
                           zipf(workload.schools, workload.skew),
                           zipf(workload.badges, workload.skew) };
    std::discrete_distribution<std::uint32_t> customers(workload.customerWeights.begin(),
                                                        workload.customerWeights.end());
    std::vector<std::uint32_t> owners(workload.dossiers);
    for (std::uint32_t &owner : owners)
        owner = customers(random);

    const double rate = workload.requestsPerEngine * static_cast<double>(workload.engines);
    const double peakRate = rate * kPeakFactor;
    std::exponential_distribution<double> gap(peakRate);
    std::uniform_real_distribution<double> unit;
    std::vector<Arrival> arrivals;
    for (Cost at(gap(random)); at < workload.duration; at += Cost(gap(random))) {
        if (unit(random) * kPeakFactor >= demandFactor(workload, at))
            continue;
        Arrival arrival{ .at = at };
        arrival.daemon = uniform(random, 0, static_cast<std::uint32_t>(workload.daemons - 1));
        const bool isLong = unit(random) < workload.longShare;
        std::size_t dossier = 0;
        const auto chain = drawChain(workload, popularity, at, random, dossier);
        const std::uint32_t suffix = uniform(random, 200, 1000);
        const std::uint32_t output = uniform(random, 30, 90);
        const bool straggler = unit(random) < kStragglerShare;
        const std::uint32_t customer = customers(random);
        if (isLong && !workload.includesLong)
            continue;
        if (isLong) {
            const std::uint32_t factor = straggler ? kStragglerFactor : 1;
            arrival.workClass = WorkClass::Long;
            arrival.customer = owners[dossier];
            arrival.chain = chain;
            arrival.outputTokens = output * 5 * factor;
            arrival.promptTokens =
                    static_cast<std::uint32_t>(chain.size()) * 4096 + 2 * suffix * factor;
        } else {
            arrival.customer = customer;
            arrival.promptTokens = suffix;
            arrival.outputTokens = output;
        }
        arrivals.push_back(std::move(arrival));
    }
    return arrivals;
}

} // namespace chervilfield::bench
