#include "dispatch/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <limits>

namespace chervilfield::dispatch {

namespace {

// The last part of a prompt belongs to one request or session, so it has no home.
std::size_t sharedParts(const WorkRequest &request)
{
    return request.parts.size() > 1 ? request.parts.size() - 1 : 0;
}

double sharedTokens(const WorkRequest &request)
{
    double tokens = 0;
    for (std::size_t i = 0; i < sharedParts(request); ++i)
        tokens += request.parts[i].tokens;
    return tokens;
}

} // namespace

struct Placer::Candidate
{
    std::size_t index = 0;
    std::uint64_t weights = 0;
    double cached = 0;
    bool avoided = false;
    Seconds cost{};
    Seconds expected{};
};

std::uint64_t prefixHash(const WorkRequest &request, std::size_t count, std::uint64_t weights)
{
    std::uint64_t hash = base::hash64(request.cacheScope, weights);
    hash = base::hash64(request.model, hash);
    for (std::size_t i = 0; i < count && i < request.parts.size(); ++i)
        hash = base::hash64(request.parts[i].id, hash);
    return hash;
}

Placer::Placer(std::string dataCentre, std::uint64_t seed, PlacementOptions options)
    : dataCentre_(std::move(dataCentre)), options_(options), random_(seed)
{
}

double Placer::cachedTokens(const WorkRequest &request, const fleet::Target &target,
                            std::uint64_t weights, Time now) const
{
    double tokens = sharedTokens(request);
    for (std::size_t count = sharedParts(request); count > 0; --count) {
        for (const Holder &holder : memory_.holders(prefixHash(request, count, weights))) {
            const bool isHere = holder.target == target.id && holder.startedAt == target.startedAt;
            if (isHere && now - holder.sentAt < options_.cacheLifetime)
                return tokens;
        }
        tokens -= request.parts[count - 1].tokens;
    }
    return 0;
}

void Placer::addCost(Candidate &candidate, const WorkRequest &request, const fleet::View &view,
                     Time now) const
{
    const fleet::Target &target = view.targets()[candidate.index];
    const TargetStatus *status = board_.find(target);
    const double slowness = status == nullptr ? 1 : std::max(0.5, status->report.slowness);
    const double requests = board_.estimatedRequests(target, now);
    Seconds queue{};
    if (request.model.empty()) {
        const double ahead = requests / std::max<std::uint32_t>(1, target.slots);
        queue = options_.serviceTime * slowness * (1 + ahead * ahead);
    } else {
        const double waiting = status == nullptr ? 0 : status->waitingTokens;
        const double uncached = request.promptTokens - candidate.cached;
        queue = Seconds((waiting + uncached) / options_.prefillRate * slowness)
                + options_.perRequest * requests * slowness;
    }
    candidate.expected = queue;
    candidate.cost = queue;
    if (target.dataCentre != dataCentre_)
        candidate.cost += options_.otherDataCentre;
    if (status != nullptr) {
        candidate.avoided = status->avoidUntil > now || status->loadingUntil > now;
        // A target with recent faults is expected to lose the time that they cost.
        candidate.cost += Seconds(status->failures * 0.1);
    }
    if (!request.model.empty() && candidate.weights < view.wantedWeights(request.model))
        candidate.cost += options_.staleWeights;
}

std::vector<Placer::Candidate> Placer::candidates(const WorkRequest &request,
                                                  const std::string &pool, const fleet::View &view,
                                                  Time now) const
{
    std::vector<Candidate> result;
    for (const std::size_t index : view.readyTargets(pool)) {
        const fleet::Target &target = view.targets()[index];
        if (std::ranges::find(request.excluded, target.id) != request.excluded.end())
            continue;
        Candidate candidate{ .index = index };
        if (!request.model.empty()) {
            candidate.weights = board_.weightsOf(target, request.model);
            candidate.cached = cachedTokens(request, target, candidate.weights, now);
        }
        addCost(candidate, request, view, now);
        result.push_back(candidate);
    }
    return result;
}

const fleet::Target *Placer::cacheSource(const WorkRequest &request, const fleet::View &view,
                                         const Candidate &chosen, const fleet::Target *home,
                                         Time now) const
{
    const auto isUsable = [&](const fleet::Target &target) {
        const TargetStatus *status = board_.find(target);
        return target.id != view.targets()[chosen.index].id
               && board_.weightsOf(target, request.model) == chosen.weights
               && (status == nullptr || (status->avoidUntil <= now && status->loadingUntil <= now));
    };
    for (const Holder &holder :
         memory_.holders(prefixHash(request, sharedParts(request), chosen.weights))) {
        const auto found = std::ranges::find(view.targets(), holder.target, &fleet::Target::id);
        if (found != view.targets().end() && found->startedAt == holder.startedAt
            && now - holder.sentAt < options_.cacheLifetime && isUsable(*found))
            return &*found;
    }
    return home != nullptr && isUsable(*home) ? home : nullptr;
}

std::variant<Placement, Refusal> Placer::place(const WorkRequest &request, const std::string &pool,
                                               const fleet::View &view, Time now)
{
    std::vector<Candidate> all = candidates(request, pool, view, now);
    if (all.empty())
        return Refusal{ .code = base::Result::NoTarget, .retryAfter = options_.noTargetRetry };
    const bool anyGood = std::ranges::any_of(all, [](const auto &c) { return !c.avoided; });
    if (anyGood)
        std::erase_if(all, [](const Candidate &c) { return c.avoided; });
    // The home of a prefix is the same at every instance, without any exchange between them.
    const double shared = sharedTokens(request);
    const fleet::Target *home = nullptr;
    std::uint64_t highest = 0;
    const std::uint64_t key = prefixHash(request, std::min<std::size_t>(1, sharedParts(request)), 0);
    for (const Candidate &candidate : all) {
        const fleet::Target &target = view.targets()[candidate.index];
        const std::uint64_t rank = base::combineHash(key, base::hash64(target.id));
        if (shared > 0 && (home == nullptr || rank > highest)) {
            home = &target;
            highest = rank;
        }
    }
    const double awayShare = std::min(1.0, shared * 20 / options_.prefillRate);
    const Candidate *best = nullptr;
    Seconds bestCost{ std::numeric_limits<double>::max() };
    for (Candidate &candidate : all) {
        const bool isHome = home != nullptr && &view.targets()[candidate.index] == home;
        Seconds cost = candidate.cost;
        if (home != nullptr && !isHome)
            cost += options_.awayFromHome * awayShare;
        // Equal costs are drawn at random, so that instances do not all choose the same target.
        cost += Seconds(std::uniform_real_distribution<double>(0, 0.002)(random_));
        if (cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    Placement placement{ .target = best->index,
                         .weights = best->weights,
                         .uncachedTokens = request.promptTokens - best->cached,
                         .expected = best->expected };
    constexpr double kWorthFetching = 512;
    if (shared - best->cached > kWorthFetching) {
        if (const fleet::Target *source = cacheSource(request, view, *best, home, now)) {
            placement.cacheSource = source->address;
            placement.uncachedTokens -= shared - best->cached;
        }
    }
    return placement;
}

void Placer::sent(const WorkRequest &request, const Placement &placement, const fleet::View &view,
                  Time now)
{
    const fleet::Target &target = view.targets()[placement.target];
    board_.start(target, placement.uncachedTokens);
    for (std::size_t count = 1; count <= sharedParts(request); ++count)
        memory_.record(prefixHash(request, count, placement.weights), target, now);
}

} // namespace chervilfield::dispatch
