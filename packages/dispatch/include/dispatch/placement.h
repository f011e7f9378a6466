#pragma once

#include "base/result.h"
#include "dispatch/prefix_memory.h"
#include "dispatch/target_tracker.h"
#include "fleet/view.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chervilfield::dispatch {

/// A part of a prompt that several requests may share. The sequence of parts from the start of the
/// prompt identifies a prefix.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Properties of a request that affect its placement.
struct PlacementRequest
{
    std::string model;      ///< Empty for requests to plain services.
    std::string cacheScope; ///< Requests with different scopes share no cached prefix.
    std::span<const PromptPart> parts{};
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0; ///< Maximum length of the answer, in tokens.
    /// Latency goal: time to the whole answer or, for streams, to the first event.
    std::chrono::milliseconds latencyGoal{ 0 };
    std::chrono::milliseconds timeLeft{ 0 }; ///< Time until the caller gives up.
    std::span<const std::string> excluded{}; ///< Ids of targets that were already tried.
};

/// The target chosen for a request, with the data needed to send the request to it.
struct Placement
{
    std::size_t target = 0;                  ///< Index into the targets of the view.
    std::uint64_t weights = 0;               ///< Weights version of the target, 0 if unknown.
    std::optional<net::Address> cacheSource; ///< Target or store to fetch the prefix from.
    std::optional<net::Address> cacheStore;  ///< Store to save the prefix in after prefill.
    InFlightRequest inFlightRequest{};       ///< Load that `recordSent` adds to the target.
    double uncachedTokens = 0;               ///< Expected number of prompt tokens to compute.
    Seconds expectedTime{};                  ///< Expected time to the first event.
    /// Upper bound of the time that the target is given for the request, also if the caller would
    /// wait longer, because the request must not begin on its weights after that. No value if there
    /// is no limit.
    std::optional<std::chrono::milliseconds> timeLimit;
    /// Time to wait before the request is sent, because the target accepts no more requests.
    std::chrono::milliseconds sendDelay{ 0 };
    /// The other instances expect the prefix at this target without being told.
    bool isExpectedHome = false;
};

/// Reason why no target was chosen.
struct Refusal
{
    base::Result code = base::Result::Overloaded;
    std::chrono::milliseconds retryAfter{ 0 };
    bool mayWait = false; ///< True if a target may soon have capacity for the request.
};

/// Latency that is acceptable for a request.
enum class Acceptance {
    InTime, ///< Only targets that are expected to meet the latency goal.
    Late,   ///< Also targets that miss the goal but answer before the caller gives up.
};

/// Parameters of the cost model and the limits of `Placer`.
struct PlacementOptions
{
    /// Prompt tokens that an engine computes per second; the rate of the current engines.
    double prefillRate = 40'000;
    /// Delay of the first event for each request that already runs on the engine.
    Seconds delayPerRunningRequest{ 0.003 };
    /// Time that a request occupies a slot of an engine.
    Seconds slotHoldTime{ 0.6 };
    /// Time that a request occupies a slot of a plain service.
    Seconds serviceTime{ 0.06 };
    /// Time to fetch one cached token from another engine over the current links.
    Seconds fetchTimePerToken{ 1e-6 };
    /// Cost of a target whose weights are older than the desired version, as a share of the latency
    /// goal.
    double staleWeightsCostShare = 0.4;
    /// Prompts with more tokens than this count as long: half of the chunk that engines prefill
    /// between two decoding steps. The backlog and memory limits apply to prompts with more
    /// uncached tokens than this.
    double longPromptThresholdTokens = 2048;
    /// Cost of a long prompt per request in progress at the target, as a share of its prefill time:
    /// each token of those requests waits for a chunk of the prompt.
    double prefillInterferenceShare = 0.8;
    /// Time after the first newer version became the desired one at which requests may no longer
    /// begin on the old weights.
    std::chrono::milliseconds maxStaleWeightsAge{ 9300 };
    /// Before `maxStaleWeightsAge` is reached, a target with old weights takes a request only if at
    /// least this multiple of the latency goal is left, because most requests finish within that
    /// time.
    double minStaleWeightsGoalFactor = 2;
    /// Cost of a target in another data centre: the round trip, and the same again for the
    /// bandwidth, the connections kept open there and the greater age of load information.
    Seconds otherDataCentreCost{ 0.02 };
    /// Relative time from which a target is the home of no prefix, if there is another one.
    double maxHomeRelativeTime = 2.2;
    /// Cost of a target without an idle connection: another round trip, and the connection that is
    /// used up at a target that many instances share.
    Seconds newConnectionCost{ 0.01 };
    /// Cost of computing a prefix that another target caches or is computing and that cannot be
    /// fetched from there, as a multiple of its prefill time. Above 1 because the copy also evicts
    /// another prefix, as in the cost model of package routing.
    double duplicatePrefixCostFactor = 4;
    /// Cost of placing a prefix that is cached nowhere on a target other than its rendezvous home,
    /// as a share of its prefill time. Other instances look for the prefix at its home.
    double nonHomeCostShare = 0.5;
    /// Number of instances from which prefixes are expected to be cached at their homes. The hints
    /// of a busy instance reach about as many others within their bandwidth limit; beyond that, an
    /// instance does not know of most copies.
    std::size_t minInstancesForHomes = 64;
    /// Cost of placing any prefix elsewhere than at its home, also where it is cached or fetched,
    /// as a share of its prefill time, with at least `minInstancesForHomes` instances. A copy
    /// elsewhere evicts other prefixes and leaves the home unused, which then evicts the prefix.
    double manyInstancesNonHomeCostShare = 2;
    /// Minimum share of the targets that must have a version of the weights for one of them to be
    /// the home of a prefix, with at least `minInstancesForHomes` instances.
    double minHomeGroupShare = 0.25;
    /// Maximum time since the last use of a prefix at an engine for which it is fetched from there
    /// rather than from a store, with at least `minInstancesForHomes` instances. Busy engines evict
    /// prefixes within seconds, and a prefix that is not found is computed again.
    std::chrono::milliseconds holderFetchAge{ 1000 };
    /// Time after which an engine with new weights is expected to cache the prefixes whose home it
    /// is. Until then they are expected to be cached nowhere.
    std::chrono::milliseconds homeWarmUpTime{ 2000 };
    /// Maximum number of targets that are compared for a request, in addition to those that cache
    /// its prefix and its rendezvous home. Kept small because instances learn of each other's load
    /// about 100 ms late and would overload the target that all of them consider best.
    std::size_t maxComparedTargets = 5;
    /// Maximum number of those targets that may be in other data centres.
    std::size_t maxComparedInOtherDataCentres = 2;
    /// Cost per fault in `TargetStatus::faultCount`, about the time that one fault loses.
    Seconds costPerFault{ 0.1 };
    /// Time for which an unused prefix is expected to stay cached.
    std::chrono::milliseconds cacheLifetime{ 20'000 };
    /// Minimum size of a prefix that is fetched, saved in a store or announced to other instances.
    double minSharedPrefixTokens = 512;
    /// A prefix is expected to be cached after this multiple of the expected time to first event.
    double prefixReadyFactor = 1.5;
    /// Delay after which a prefix that another instance announced is expected to be cached.
    std::chrono::milliseconds hintReadyDelay{ 500 };
    /// Maximum expected time to first event for `Acceptance::InTime`, as a multiple of the latency
    /// goal.
    double maxInTimeGoalFactor = 1.0;
    /// Maximum expected time to first event for `Acceptance::Late`, as a share of the time until
    /// the caller gives up. The rest is reserved for the events after the first one.
    double maxLateTimeLeftShare = 0.6;
    /// Maximum prefill backlog of an engine, in tokens, with which it takes another long prompt
    /// under `Acceptance::InTime`. While an engine prefills, its streams get one token per chunk of
    /// about 4,096 tokens, so two long prompts in a row cause a pause that callers count as late.
    double maxInTimeBacklogTokens = 2048;
    /// The same limit under `Acceptance::Late`: about the size of one long prompt.
    double maxLateBacklogTokens = 20'000;
    /// Maximum share of an engine's memory that requests in progress may occupy, checked when a
    /// long prompt is placed. The rest caches prefixes that would otherwise have to be computed
    /// again.
    double maxMemoryShare = 0.6;
    /// Maximum time that a request waits until a target accepts it, as a share of the latency goal.
    double maxSendDelayGoalShare = 0.4;
    /// Retry-After of a refusal because of overload: the usual duration of requests in progress.
    std::chrono::milliseconds overloadedRetryAfter{ 800 };
    /// Retry-After of a refusal because no target is available.
    std::chrono::milliseconds noTargetRetryAfter{ 500 };
};

/// Chooses a target for each request by estimated cost. Not safe for concurrent use.
class Placer
{
public:
    /// `dataCentre` is the data centre of this instance. `seed` initializes the random choices.
    Placer(std::string dataCentre, std::uint64_t seed, PlacementOptions options = {});

    /// Chooses a target of `pool`, or returns a refusal. Must be called again before each retry.
    std::variant<Placement, Refusal> place(const PlacementRequest &request, const std::string &pool,
                                           const fleet::View &view, Acceptance acceptance,
                                           Time now);

    /// Records that the request was sent to the chosen target.
    void recordSent(const PlacementRequest &request, const Placement &placement,
                    const fleet::View &view, Time now);

    /// Returns at most `limit` prefixes that were not yet announced to other instances, and
    /// discards the rest.
    std::vector<PrefixHint> takeHints(std::size_t limit);

    /// Records prefixes that another instance announced.
    void mergeHints(std::span<const PrefixHint> hints, Time now);

    TargetTracker &targetTracker() { return targetTracker_; }
    const TargetTracker &targetTracker() const { return targetTracker_; }

private:
    struct Candidate;

    /// The rendezvous home of a prompt among the targets with one version of the weights.
    struct Home
    {
        std::size_t index = 0; ///< Into the targets of the view.
        std::uint64_t weights = 0;
        std::uint64_t score = 0;
        std::size_t groupSize = 1; ///< Number of targets with these weights.
        /// True if requests of all instances have filled its cache, as far as is known here.
        bool isWarm = false;
        double weightedScore = 0; ///< Rank of the target; higher is better.
    };

    /// Returns true if the candidate has capacity for the request under `acceptance`.
    bool accepts(const Candidate &candidate, const PlacementRequest &request,
                 const fleet::Pool *pool, const fleet::View &view, Acceptance acceptance,
                 Time now) const;
    /// Returns the ready targets of the pool that are not leaving.
    std::vector<std::size_t> usableTargets(const std::string &pool, const fleet::View &view) const;
    /// Returns the targets to compare: those that cache the prefix, its rendezvous home and a
    /// random sample of the others.
    std::vector<std::size_t> sampleTargets(const PlacementRequest &request,
                                           std::span<const std::size_t> usable,
                                           std::span<const Home> homes, const fleet::View &view,
                                           Time now);
    /// Returns the home of the prompt for each version of the weights. The list is empty if the
    /// prompt has no part that others may share.
    std::vector<Home> findHomes(const PlacementRequest &request,
                                std::span<const std::size_t> usable, const fleet::View &view,
                                Time now) const;
    /// Returns the rank of a target as the home of a prompt with this hash score. Targets become
    /// homes in proportion to their learned speed; the order of equal ones is that of the scores.
    double homeRank(std::uint64_t score, const fleet::Target &target, Time now) const;
    /// Returns true if a request would wait at the target, in a pool whose targets are known to
    /// differ.
    bool wouldQueue(const fleet::Target &target, Time now) const;
    /// Returns the state of the target that a request finds.
    performance::Sample conditionsOf(const fleet::Target &target, double uncachedTokens,
                                     Time now) const;
    /// Keeps the first `kept` indices and a bounded random sample of the rest.
    void limitCompared(std::vector<std::size_t> &indices, std::size_t kept, const fleet::View &view,
                       Time now);
    std::vector<Candidate> makeCandidates(const PlacementRequest &request,
                                          std::span<const std::size_t> indices,
                                          std::span<const Home> homes, const fleet::View &view,
                                          Time now) const;
    /// Returns the time for which requests may still begin on this version of the weights, negative
    /// after its end, or no value if there is no limit.
    std::optional<std::chrono::milliseconds> remainingWeightsTime(const PlacementRequest &request,
                                                                  std::uint64_t weights,
                                                                  const fleet::View &view,
                                                                  Time now) const;
    /// Returns true if too little time is left to place the request on this version of the weights.
    bool isTooStale(const PlacementRequest &request, std::uint64_t weights, const fleet::View &view,
                    Time now) const;
    /// Returns a refusal because no target of the pool accepts the request within its maximum
    /// delay. Refused callers are asked to return one after the other, in the order in which they
    /// were refused, from the time at which the first target accepts requests again.
    Refusal refuseUntilAccepted(const PlacementRequest &request, const std::string &pool,
                                const fleet::View &view, Seconds earliestDelay, Time now);
    /// Returns the requests per second that this instance may send to the target: its share of the
    /// stated limit or, if there is none, of what the slots of the target can serve.
    double acceptedRate(const PlacementRequest &request, const fleet::Target &target) const;
    void addServiceCost(Candidate &candidate, const fleet::Target &target, Time now) const;
    Seconds slotWait(const fleet::Target &target, Time now) const;
    void addEngineCost(Candidate &candidate, const PlacementRequest &request,
                       const fleet::Target &target, Time now) const;
    void addCommonCost(Candidate &candidate, const PlacementRequest &request,
                       const fleet::View &view, Time now) const;
    void findPrefix(Candidate &candidate, const PlacementRequest &request,
                    std::span<const Home> homes, const fleet::View &view, Time now) const;
    void addHomeCost(std::vector<Candidate> &candidates, const PlacementRequest &request) const;
    /// Returns true if there are too many instances to know of the copies of a prefix.
    bool reliesOnHomes() const
    {
        return targetTracker_.instanceShare().instances >= options_.minInstancesForHomes;
    }
    /// Returns true if a cache store is configured.
    static bool hasCacheStore(const fleet::View &view);
    /// Sets the store of the prefix, if any is configured, as its source and destination.
    void setCacheStore(Placement &placement, const PlacementRequest &request,
                       const fleet::View &view) const;
    /// Returns the target of `holder` if its run has not ended and it probably still caches the
    /// prefix, or null.
    const fleet::Target *findLiveHolder(const Holder &holder, const fleet::View &view,
                                        Time now) const;

    std::string dataCentre_;
    PlacementOptions options_;
    std::mt19937_64 random_;
    TargetTracker targetTracker_;
    PrefixMemory memory_;
    std::vector<PrefixHint> hints_;
    std::map<std::string, Time> lastReturnAt_; ///< Return of the last refused caller, by pool.
};

/// Returns a hash of the cache scope, the model, the weights version and the first `count` parts of
/// the prompt.
std::uint64_t prefixHash(const PlacementRequest &request, std::size_t count, std::uint64_t weights);

} // namespace chervilfield::dispatch
