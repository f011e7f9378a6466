#pragma once

#include "base/result.h"
#include "dispatch/prefix_memory.h"
#include "dispatch/target_board.h"
#include "fleet/view.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chervilfield::dispatch {

/// A part of a prompt that other requests may share. The chain of parts identifies the prefix.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What the placement needs to know of a request.
struct PlacementRequest
{
    std::string model;      ///< Empty for plain calls.
    std::string cacheScope; ///< Requests of different scopes share no cached prefix.
    std::span<const PromptPart> parts{};
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
    /// Time to the answer or first event that is aimed at.
    std::chrono::milliseconds latencyGoal{ 0 };
    std::chrono::milliseconds timeLeft{ 0 }; ///< Until the caller gives up.
    std::span<const std::string> excluded{}; ///< Ids of targets that were tried before.
};

/// Where to send a request.
struct Placement
{
    std::size_t target = 0;                  ///< Index into the targets of the view.
    std::uint64_t weights = 0;               ///< Version that the target has, 0 if unknown.
    std::optional<net::Address> cacheSource; ///< Another target that probably caches the prefix.
    std::optional<net::Address> cacheStore;  ///< Store to save the prefix in once it is read.
    InFlightRequest inFlightRequest{};       ///< Counted at the target by `sent`.
    double uncachedTokens = 0;               ///< Expected prompt tokens to compute.
    Seconds expectedTime{};                  ///< Expected time to the first event.
    /// Time that the target gets if the caller has more: it must not begin later than that.
    std::optional<std::chrono::milliseconds> timeLimit;
};

/// A request that is not sent anywhere.
struct Refusal
{
    base::Result code = base::Result::Overloaded;
    std::chrono::milliseconds retryAfter{ 0 };
    bool mayWait = false; ///< A target may have room for the request soon.
};

/// What a request accepts.
enum class Acceptance {
    InTime, ///< Only a target that is expected to meet the latency goal.
    Late,   ///< Also one that answers later, but before the caller gives up.
};

struct PlacementOptions
{
    /// Prompt tokens that an engine computes per second; the rate of the engines of today.
    double prefillRate = 40'000;
    /// Time that each running request at an engine adds to the first event of the next one.
    Seconds delayPerRunningRequest{ 0.003 };
    /// Time that a request keeps a slot of an engine.
    Seconds slotHoldTime{ 0.6 };
    /// Time that a request takes one slot of a plain service.
    Seconds serviceTime{ 0.06 };
    /// Time to fetch a cached token from another engine, at the links of today.
    Seconds fetchTimePerToken{ 1e-6 };
    /// Cost of a target with older weights than the wanted ones, as a share of the latency goal.
    double staleWeightsCostShare = 0.4;
    /// Prompts above this size are long work: half a chunk that engines read between two tokens.
    double longPromptThresholdTokens = 2048;
    /// Cost of long work for each request in progress, relative to the time to read the prompt:
    /// each token of those requests waits for a chunk of it.
    double prefillInterferenceShare = 0.8;
    /// No request may begin on weights this long after the first newer version was named.
    std::chrono::milliseconds maxStaleWeightsAge{ 9300 };
    /// Before that, a target with such weights takes a request if this multiple of its goal is
    /// left: most requests are finished by then.
    double minStaleWeightsGoals = 2;
    /// Cost of a target in another data centre: the way there and back, and as much again for the
    /// bytes, the connections that are kept open there, and load that is known later.
    Seconds otherDataCentreCost{ 0.02 };
    /// Cost of a target without an idle connection: the way there and back once more, and the place
    /// that the connection takes at a target that many instances use.
    Seconds newConnectionCost{ 0.01 };
    /// Cost of computing a prefix that another target holds already, relative to its time: the copy
    /// also evicts another prefix, as in the cost model of package routing.
    double duplicatePrefixCostShare = 4;
    /// Cost of a target other than the home of a prefix that nobody holds, relative to the time to
    /// compute it. Other instances expect it at its home.
    double nonHomeCostShare = 0.5;
    /// Targets that are compared for a request, beside those that hold its prefix or are its home.
    /// Few, because instances learn of each other's work some 100 ms later and would rush to the
    /// target that all of them see as the best one.
    std::size_t maxComparedTargets = 5;
    /// Of those, targets in other data centres.
    std::size_t maxComparedInOtherDataCentres = 2;
    /// Cost of one recent fault of a target: about the time that it lost.
    Seconds costPerFault{ 0.1 };
    /// Time for which an unused prefix is expected to stay cached.
    std::chrono::milliseconds cacheLifetime{ 20'000 };
    /// Prefixes below this size are neither fetched nor told to other instances.
    double minSharedPrefixTokens = 512;
    /// A prefix is expected to be read within this multiple of the expected time to first event.
    double prefixReadyFactor = 1.5;
    /// Time after which a prefix that another instance told of is expected to be read.
    std::chrono::milliseconds hintReadyDelay{ 500 };
    /// Expected time to the first event that counts as in time, as a multiple of the latency goal.
    double inTimeGoalMultiple = 1.0;
    /// The same for late work, as a share of the time that the caller still waits. The rest is for
    /// the events after the first one.
    double lateTimeLeftShare = 0.6;
    /// Unread prompt tokens at an engine with which it takes a further long prompt. Streams of the
    /// engine get a token per chunk of about 4,096 tokens while it reads, so that two long prompts
    /// in a row make a pause that callers count as late.
    double maxInTimeBacklogTokens = 2048;
    /// The same for work that is late in any case: one long prompt.
    double maxLateBacklogTokens = 20'000;
    /// Share of an engine's memory that requests in progress may take. The rest keeps prefixes that
    /// would otherwise be computed again.
    double maxMemoryShare = 0.6;
    /// Retry-After of a refusal for lack of room: what is in progress takes about this long.
    std::chrono::milliseconds overloadedRetryAfter{ 800 };
    /// Retry-After of a refusal because no target is available.
    std::chrono::milliseconds noTargetRetryAfter{ 500 };
};

/// Chooses targets. Not safe for concurrent use.
class Placer
{
public:
    Placer(std::string dataCentre, std::uint64_t seed, PlacementOptions options = {});

    /// Chooses a target of `pool`, or refuses. Call it once for each send.
    std::variant<Placement, Refusal> place(const PlacementRequest &request, const std::string &pool,
                                           const fleet::View &view, Acceptance acceptance,
                                           Time now);

    /// Records that the request was sent to its place.
    void recordSent(const PlacementRequest &request, const Placement &placement,
                    const fleet::View &view, Time now);

    /// Returns at most `limit` prefixes that other instances do not know of, and forgets the rest.
    std::vector<PrefixHint> takeHints(std::size_t limit);

    /// Takes what another instance knows.
    void mergeHints(std::span<const PrefixHint> hints, Time now);

    TargetTracker &targetTracker() { return targetTracker_; }
    const TargetTracker &targetTracker() const { return targetTracker_; }

private:
    struct Candidate;

    bool accepts(const Candidate &candidate, const PlacementRequest &request,
                 const fleet::Pool *pool, const fleet::View &view, Acceptance acceptance,
                 Time now) const;
    std::vector<std::size_t> sample(const PlacementRequest &request,
                                    std::span<const std::size_t> ready, const fleet::View &view,
                                    Time now);
    /// Leaves those to compare after the first `kept` indices, which all stay.
    void chooseCompared(std::vector<std::size_t> &indices, std::size_t kept,
                        const fleet::View &view, Time now);
    std::vector<Candidate> candidates(const PlacementRequest &request,
                                      std::span<const std::size_t> indices, const fleet::View &view,
                                      Time now) const;
    /// Returns the time for which work may begin on the weights; no value if there is no limit.
    std::optional<std::chrono::milliseconds> weightsLeft(const PlacementRequest &request,
                                                         std::uint64_t weights,
                                                         const fleet::View &view, Time now) const;
    bool isTooStale(const PlacementRequest &request, std::uint64_t weights, const fleet::View &view,
                    Time now) const;
    void addServiceCost(Candidate &candidate, const fleet::Target &target, Time now) const;
    Seconds slotWait(const fleet::Target &target, Time now) const;
    void addEngineCost(Candidate &candidate, const PlacementRequest &request,
                       const fleet::Target &target, Time now) const;
    void addCommonCost(Candidate &candidate, const PlacementRequest &request,
                       const fleet::View &view, Time now) const;
    void findPrefix(Candidate &candidate, const PlacementRequest &request, const fleet::View &view,
                    Time now) const;
    void addHomeCost(std::vector<Candidate> &candidates, const PlacementRequest &request,
                     const fleet::View &view) const;
    static void useStore(Placement &placement, const fleet::View &view);
    const fleet::Target *liveHolder(const Holder &holder, const fleet::View &view, Time now) const;

    std::string dataCentre_;
    PlacementOptions options_;
    std::mt19937_64 random_;
    TargetTracker targetTracker_;
    PrefixMemory memory_;
    std::vector<PrefixHint> hints_;
};

/// Returns a hash of the first `count` parts under a cache scope and a version of the weights.
std::uint64_t prefixHash(const PlacementRequest &request, std::size_t count, std::uint64_t weights);

} // namespace chervilfield::dispatch
