#include "load_exchange.h"

#include "membership/followers.h"
#include "membership/load_digest.h"
#include "peers/datagram.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::bench {

namespace {

using membership::LoadEntry;
using membership::TargetLoad;
using membership::TimePoint;
using namespace std::chrono_literals;

constexpr std::size_t kDaemons = 36;
constexpr std::size_t kTargets = 86;
constexpr double kRequestsPerSecond = 560;
constexpr double kPrefillTokensPerSecond = 20'000; ///< Of one engine. The load uses about 70%.
constexpr double kLongShare = 0.08;                ///< Share of long requests.
constexpr double kMeanShortTokens = 400;           ///< Uncached tokens of a short request.
constexpr double kMeanLongTokens = 22'000;
constexpr double kMeanDecodeSeconds = 10; ///< 214 tokens at 47 ms each.
constexpr std::size_t kCandidatesPerPrefix = 4;
constexpr std::size_t kPrefixes = 2000;
constexpr std::size_t kHeaderBytes = 28; ///< IPv4 and UDP.
constexpr auto kPollInterval = 20ms;     ///< Interval of checks for significant changes.
constexpr double kRefreshSeconds = 5;    ///< Interval of reports without changes.
constexpr double kWarmUpSeconds = 10;
constexpr double kMeasuredSeconds = 60;

struct InFlightRequest
{
    std::size_t target;
    std::size_t workClass;
    double tokens;
    double firstTokenTime; ///< Time in seconds.
    double endTime;        ///< Time in seconds.
};

struct Daemon
{
    std::vector<InFlightRequest> inFlight;
    std::array<double, kTargets> ownTokens{};
    std::array<double, kTargets> othersTokens{};
    std::array<double, kTargets> grant{};
    std::array<double, kTargets> demand{};
    std::vector<membership::SentLoads> sent; ///< Indexed by receiver.
    membership::ReportedLoads reportedLoads;
    double nextTick = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
};

class ExchangeSimulation
{
public:
    ExchangeSimulation(ExchangeMethod method, std::chrono::milliseconds sendInterval,
                       std::uint64_t seed)
        : method_(method), random_(seed)
    {
        // Grants are renewed in each interval. Digests are sent on changes, which must be polled
        // for.
        const auto tick = method == ExchangeMethod::Grants ? sendInterval : kPollInterval;
        tickInterval_ = std::chrono::duration<double>(tick).count();
        options_.minSendInterval = sendInterval;
        std::vector<membership::Member> members(kDaemons);
        std::vector<membership::FollowedTarget> targets(kTargets);
        for (std::size_t i = 0; i < kDaemons; ++i) {
            members[i].name = name(i);
            daemons_[i].sent.resize(kDaemons);
            daemons_[i].nextTick = uniformRandom() * tickInterval_;
        }
        for (std::size_t i = 0; i < kTargets; ++i)
            targets[i] = { std::to_string(100 + i), {} };
        for (const auto &assignment : membership::assignFollowers(members, targets)) {
            const auto target = static_cast<std::size_t>(std::stoul(assignment.target) - 100);
            aggregationPoints_[target] = static_cast<std::size_t>(
                    std::stoul(assignment.members.front().substr(6)) - 100);
        }
        std::vector<double> weights(kPrefixes);
        for (std::size_t i = 0; i < kPrefixes; ++i)
            weights[i] = 1 / std::pow(static_cast<double>(i + 1), 0.8);
        prefixes_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    ExchangeResult run()
    {
        const double endTime = kWarmUpSeconds + kMeasuredSeconds;
        double arrival = 0;
        while (arrival < endTime) {
            const auto next = std::ranges::min_element(daemons_, {}, &Daemon::nextTick);
            if (next->nextTick < arrival) {
                now_ = next->nextTick;
                tick(static_cast<std::size_t>(next - daemons_.begin()));
                next->nextTick += tickInterval_;
                continue;
            }
            now_ = arrival;
            placeRequest();
            arrival += std::exponential_distribution<>(kRequestsPerSecond)(random_);
        }
        return result();
    }

private:
    static std::string name(std::size_t index) { return "entry-" + std::to_string(100 + index); }
    double uniformRandom() { return std::uniform_real_distribution<>(0, 1)(random_); }
    bool isMeasured() const { return now_ >= kWarmUpSeconds; }
    TimePoint time() const
    {
        return TimePoint{ std::chrono::duration_cast<membership::Duration>(
                std::chrono::duration<double>(now_)) };
    }

    double estimateQueuedTokens(const Daemon &daemon, std::size_t target) const
    {
        switch (method_) {
        case ExchangeMethod::Perfect:
            return std::max(0.0, queueEnd_[target] - now_) * kPrefillTokensPerSecond;
        case ExchangeMethod::Grants:
            return -daemon.grant[target];
        default:
            return daemon.ownTokens[target] + daemon.othersTokens[target];
        }
    }

    void updateOwnWork(Daemon &daemon)
    {
        std::erase_if(daemon.inFlight,
                      [&](const InFlightRequest &request) { return request.endTime <= now_; });
        daemon.ownTokens.fill(0);
        for (const InFlightRequest &request : daemon.inFlight) {
            if (request.firstTokenTime > now_)
                daemon.ownTokens[request.target] += request.tokens;
        }
    }

    void placeRequest()
    {
        Daemon &daemon = daemons_[random_() % kDaemons];
        updateOwnWork(daemon);
        const bool isLong = uniformRandom() < kLongShare;
        const double tokens =
                isLong ? std::lognormal_distribution<>(std::log(kMeanLongTokens) - 0.32,
                                                       0.8)(random_)
                       : std::exponential_distribution<>(1 / kMeanShortTokens)(random_);
        std::mt19937_64 placement(prefixes_(random_));
        std::size_t best = placement() % kTargets;
        for (std::size_t i = 1; i < kCandidatesPerPrefix; ++i) {
            const std::size_t candidate = placement() % kTargets;
            if (estimateQueuedTokens(daemon, candidate) < estimateQueuedTokens(daemon, best))
                best = candidate;
        }
        const double firstTokenTime =
                std::max(now_, queueEnd_[best]) + tokens / kPrefillTokensPerSecond;
        queueEnd_[best] = firstTokenTime;
        const double decode = std::exponential_distribution<>(1 / kMeanDecodeSeconds)(random_);
        daemon.inFlight.push_back(
                { best, isLong ? 1U : 0U, tokens, firstTokenTime, firstTokenTime + decode });
        daemon.grant[best] -= tokens;
        daemon.demand[best] += tokens;
        if (isMeasured())
            (isLong ? longTtft_ : shortTtft_).push_back((firstTokenTime - now_) * 1000);
    }

    std::vector<LoadEntry> currentLoads(const Daemon &daemon) const
    {
        std::array<TargetLoad, kTargets> loads;
        for (const InFlightRequest &request : daemon.inFlight) {
            auto &part = loads[request.target].classes[request.workClass];
            ++part.requests;
            if (request.firstTokenTime > now_)
                part.prefillTokens += static_cast<std::uint32_t>(request.tokens);
        }
        std::vector<LoadEntry> entries;
        for (std::size_t target = 0; target < kTargets; ++target)
            entries.push_back({ key(target), loads[target] });
        return entries;
    }

    // Keys are as large as the hashes that daemons send, so that their encoded size is realistic.
    static membership::TargetKey key(std::size_t target)
    {
        return static_cast<membership::TargetKey>(target) | 0x70000000U;
    }
    static std::size_t indexOf(membership::TargetKey key) { return key & 0xffffU; }

    void countDatagram(Daemon &sender, Daemon &receiver, const peers::Datagram &datagram,
                       std::size_t entries)
    {
        if (!isMeasured())
            return;
        const std::size_t size = peers::encode(datagram)->size();
        sender.sentBytes += static_cast<double>(size + kHeaderBytes);
        receiver.receivedBytes += static_cast<double>(size + kHeaderBytes);
        encodedBytes_ += static_cast<double>(size);
        encodedEntries_ += static_cast<double>(entries);
    }

    void tick(std::size_t index)
    {
        Daemon &daemon = daemons_[index];
        updateOwnWork(daemon);
        if (method_ == ExchangeMethod::AllToAll)
            sendToAll(index);
        if (method_ == ExchangeMethod::AggregationPoints) {
            reportToAggregationPoints(index);
            sendSums(index);
        }
        if (method_ == ExchangeMethod::Grants)
            grant(index);
    }

    void sendToAll(std::size_t index)
    {
        Daemon &daemon = daemons_[index];
        const auto before = daemon.sent[0];
        const auto changes =
                membership::takeChanges(daemon.sent[0], currentLoads(daemon), time(), options_);
        if (changes.empty())
            return;
        const auto size = std::min(changes.size(), peers::kMaxLoadEntries);
        const peers::LoadReport report{ name(index),
                                        kLife,
                                        { changes.begin(),
                                          changes.begin() + static_cast<std::ptrdiff_t>(size) } };
        for (std::size_t other = 0; other < kDaemons; ++other) {
            if (other != index)
                countDatagram(daemon, daemons_[other], report, size);
        }
        for (const LoadEntry &entry : changes) {
            const auto previous = before.targets.find(entry.target);
            const double change =
                    tokensOf(entry.load)
                    - (previous == before.targets.end() ? 0 : tokensOf(previous->second.load));
            for (std::size_t other = 0; other < kDaemons; ++other) {
                if (other != index)
                    daemons_[other].othersTokens[indexOf(entry.target)] += change;
            }
        }
    }

    static double tokensOf(const TargetLoad &load)
    {
        return load.classes[0].prefillTokens + load.classes[1].prefillTokens;
    }

    void reportToAggregationPoints(std::size_t index)
    {
        Daemon &daemon = daemons_[index];
        const auto loads = currentLoads(daemon);
        for (std::size_t point = 0; point < kDaemons; ++point) {
            std::vector<LoadEntry> entries;
            bool hasTargets = false;
            for (const LoadEntry &entry : loads) {
                if (aggregationPoints_[indexOf(entry.target)] != point)
                    continue;
                hasTargets = true;
                entries.push_back(entry);
            }
            if (!hasTargets)
                continue;
            const auto changes =
                    membership::takeChanges(daemon.sent[point], entries, time(), options_);
            // An empty report asks an aggregation point for its sums.
            const bool isRefreshDue = std::fmod(now_, kRefreshSeconds) < tickInterval_;
            if (changes.empty() && !isRefreshDue)
                continue;
            if (point != index)
                countDatagram(daemon, daemons_[point],
                              peers::LoadReport{ name(index), kLife, changes }, changes.size());
            membership::recordReport(daemons_[point].reportedLoads, name(index), kLife, changes,
                                     time());
        }
    }

    void sendSums(std::size_t index)
    {
        Daemon &point = daemons_[index];
        membership::expireReports(point.reportedLoads, time(), options_);
        for (std::size_t reader = 0; reader < kDaemons; ++reader) {
            const auto sums =
                    membership::takeSums(point.reportedLoads, name(reader), time(), options_);
            if (sums.empty())
                continue;
            if (reader != index)
                countDatagram(point, daemons_[reader], peers::LoadSums{ sums }, sums.size());
            for (const LoadEntry &entry : sums)
                daemons_[reader].othersTokens[indexOf(entry.target)] = tokensOf(entry.load);
        }
    }

    // The aggregation point knows the exact queue of its targets. This favours the method, because
    // real reports would be less precise.
    void grant(std::size_t index)
    {
        Daemon &point = daemons_[index];
        std::array<std::vector<LoadEntry>, kDaemons> messages;
        for (std::size_t target = 0; target < kTargets; ++target) {
            if (aggregationPoints_[target] != index)
                continue;
            double total = 0;
            for (const Daemon &daemon : daemons_)
                total += daemon.demand[target] + kMeanShortTokens;
            const double backlog =
                    std::max(0.0, queueEnd_[target] - now_) * kPrefillTokensPerSecond;
            const double capacity = 2 * tickInterval_ * kPrefillTokensPerSecond - backlog;
            for (std::size_t i = 0; i < kDaemons; ++i) {
                Daemon &daemon = daemons_[i];
                daemon.grant[target] =
                        capacity * (daemon.demand[target] + kMeanShortTokens) / total;
                daemon.demand[target] /= 2;
                TargetLoad load;
                load.classes[0].prefillTokens =
                        static_cast<std::uint32_t>(std::abs(daemon.grant[target]));
                messages[i].push_back({ key(target), load });
            }
        }
        for (std::size_t i = 0; i < kDaemons; ++i) {
            if (messages[i].empty() || i == index)
                continue;
            // The daemon reports its demand and the aggregation point responds with the grant.
            countDatagram(daemons_[i], point, peers::LoadReport{ name(i), kLife, messages[i] },
                          messages[i].size());
            countDatagram(point, daemons_[i], peers::LoadSums{ messages[i] }, messages[i].size());
        }
    }

    static double percentile(std::vector<double> values, double fraction)
    {
        const auto rank =
                static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size()));
        std::nth_element(values.begin(), values.begin() + rank, values.end());
        return values[static_cast<std::size_t>(rank)];
    }

    ExchangeResult result() const
    {
        ExchangeResult result;
        std::vector<double> all = shortTtft_;
        all.insert(all.end(), longTtft_.begin(), longTtft_.end());
        result.shortP99Ms = percentile(shortTtft_, 0.99);
        result.allP99Ms = percentile(all, 0.99);
        for (const Daemon &daemon : daemons_) {
            result.meanSentBytesPerSecond += daemon.sentBytes / kMeasuredSeconds / kDaemons;
            result.maxTotalBytesPerSecond =
                    std::max(result.maxTotalBytesPerSecond,
                             (daemon.sentBytes + daemon.receivedBytes) / kMeasuredSeconds);
        }
        result.bytesPerEntry = encodedEntries_ == 0 ? 0 : encodedBytes_ / encodedEntries_;
        return result;
    }

    // Unix milliseconds of a date in 2026, as long as the lives of daemons.
    static constexpr std::uint64_t kLife = 1'790'000'000'000;

    ExchangeMethod method_;
    double tickInterval_ = 0; ///< Seconds between two ticks of a daemon.
    std::mt19937_64 random_;
    membership::LoadDigestOptions options_;
    std::discrete_distribution<std::size_t> prefixes_;
    std::array<Daemon, kDaemons> daemons_;
    std::array<std::size_t, kTargets> aggregationPoints_{}; ///< Index of the daemon by target.
    std::array<double, kTargets> queueEnd_{}; ///< Time at which the prefill queue is empty.
    std::vector<double> shortTtft_;
    std::vector<double> longTtft_;
    double encodedBytes_ = 0;
    double encodedEntries_ = 0;
    double now_ = 0;
};

} // namespace

ExchangeResult simulateExchange(ExchangeMethod method, std::chrono::milliseconds sendInterval,
                                std::uint64_t seed)
{
    return ExchangeSimulation(method, sendInterval, seed).run();
}

} // namespace chervilfield::bench
