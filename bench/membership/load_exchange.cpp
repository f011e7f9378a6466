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
constexpr double kPrefillRate = 20'000; ///< Tokens per second of one engine; about 70% are used.
constexpr double kLongShare = 0.08;
constexpr double kShortTokens = 400; ///< Mean of uncached tokens.
constexpr double kLongTokens = 22'000;
constexpr double kDecodeSeconds = 10; ///< 214 tokens at 47 ms.
constexpr std::size_t kCandidates = 4;
constexpr std::size_t kPrefixes = 2000;
constexpr std::size_t kHeaderBytes = 28; ///< IPv4 and UDP.
constexpr auto kPollInterval = 20ms;     ///< Between two looks for material changes.
constexpr double kKeepAliveSeconds = 5;
constexpr double kWarmUpSeconds = 10;
constexpr double kMeasuredSeconds = 60;

struct Flight
{
    std::size_t target;
    std::size_t workClass;
    double tokens;
    double firstToken; ///< Time in seconds.
    double end;
};

struct Daemon
{
    std::vector<Flight> flights;
    std::array<double, kTargets> ownTokens{};
    std::array<double, kTargets> othersTokens{};
    std::array<double, kTargets> grant{};
    std::array<double, kTargets> demand{};
    std::vector<membership::SentLoads> sent; ///< By receiver.
    membership::ReportedLoads board;
    double nextTick = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
};

class Model
{
public:
    Model(ExchangeMethod method, std::chrono::milliseconds spacing, std::uint64_t seed)
        : method_(method), random_(seed)
    {
        // Grants are renewed at the end of each interval; digests are sent when there is a change.
        const auto tick = method == ExchangeMethod::Grants ? spacing : kPollInterval;
        interval_ = std::chrono::duration<double>(tick).count();
        options_.minSendInterval = spacing;
        std::vector<membership::Member> members(kDaemons);
        std::vector<membership::FollowedTarget> targets(kTargets);
        for (std::size_t i = 0; i < kDaemons; ++i) {
            members[i].name = name(i);
            daemons_[i].sent.resize(kDaemons);
            daemons_[i].nextTick = uniform() * interval_;
        }
        for (std::size_t i = 0; i < kTargets; ++i)
            targets[i] = { std::to_string(100 + i), {} };
        for (const auto &assignment : membership::assignFollowers(members, targets)) {
            const auto target = static_cast<std::size_t>(std::stoul(assignment.target) - 100);
            points_[target] = static_cast<std::size_t>(
                    std::stoul(assignment.members.front().substr(6)) - 100);
        }
        std::vector<double> weights(kPrefixes);
        for (std::size_t i = 0; i < kPrefixes; ++i)
            weights[i] = 1 / std::pow(static_cast<double>(i + 1), 0.8);
        prefixes_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    ExchangeResult run()
    {
        const double end = kWarmUpSeconds + kMeasuredSeconds;
        double arrival = 0;
        while (arrival < end) {
            const auto next = std::ranges::min_element(daemons_, {}, &Daemon::nextTick);
            if (next->nextTick < arrival) {
                now_ = next->nextTick;
                tick(static_cast<std::size_t>(next - daemons_.begin()));
                next->nextTick += interval_;
                continue;
            }
            now_ = arrival;
            place();
            arrival += std::exponential_distribution<>(kRequestsPerSecond)(random_);
        }
        return result();
    }

private:
    static std::string name(std::size_t index) { return "entry-" + std::to_string(100 + index); }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
    bool isMeasured() const { return now_ >= kWarmUpSeconds; }
    TimePoint time() const
    {
        return TimePoint{ std::chrono::duration_cast<membership::Duration>(
                std::chrono::duration<double>(now_)) };
    }

    double estimate(const Daemon &daemon, std::size_t target) const
    {
        switch (method_) {
        case ExchangeMethod::Perfect:
            return std::max(0.0, queueEnd_[target] - now_) * kPrefillRate;
        case ExchangeMethod::Grants:
            return -daemon.grant[target];
        default:
            return daemon.ownTokens[target] + daemon.othersTokens[target];
        }
    }

    void refreshOwn(Daemon &daemon)
    {
        std::erase_if(daemon.flights, [&](const Flight &flight) { return flight.end <= now_; });
        daemon.ownTokens.fill(0);
        for (const Flight &flight : daemon.flights) {
            if (flight.firstToken > now_)
                daemon.ownTokens[flight.target] += flight.tokens;
        }
    }

    void place()
    {
        Daemon &daemon = daemons_[random_() % kDaemons];
        refreshOwn(daemon);
        const bool isLong = uniform() < kLongShare;
        const double tokens =
                isLong ? std::lognormal_distribution<>(std::log(kLongTokens) - 0.32, 0.8)(random_)
                       : std::exponential_distribution<>(1 / kShortTokens)(random_);
        std::mt19937_64 placement(prefixes_(random_));
        std::size_t best = placement() % kTargets;
        for (std::size_t i = 1; i < kCandidates; ++i) {
            const std::size_t candidate = placement() % kTargets;
            if (estimate(daemon, candidate) < estimate(daemon, best))
                best = candidate;
        }
        const double firstToken = std::max(now_, queueEnd_[best]) + tokens / kPrefillRate;
        queueEnd_[best] = firstToken;
        const double decode = std::exponential_distribution<>(1 / kDecodeSeconds)(random_);
        daemon.flights.push_back(
                { best, isLong ? 1U : 0U, tokens, firstToken, firstToken + decode });
        daemon.grant[best] -= tokens;
        daemon.demand[best] += tokens;
        if (isMeasured())
            (isLong ? longTtft_ : shortTtft_).push_back((firstToken - now_) * 1000);
    }

    std::vector<LoadEntry> currentLoads(const Daemon &daemon) const
    {
        std::array<TargetLoad, kTargets> loads;
        for (const Flight &flight : daemon.flights) {
            auto &part = loads[flight.target].classes[flight.workClass];
            ++part.requests;
            if (flight.firstToken > now_)
                part.prefillTokens += static_cast<std::uint32_t>(flight.tokens);
        }
        std::vector<LoadEntry> entries;
        for (std::size_t target = 0; target < kTargets; ++target)
            entries.push_back({ key(target), loads[target] });
        return entries;
    }

    // The keys are as long as the hashes that daemons send.
    static membership::TargetKey key(std::size_t target)
    {
        return static_cast<membership::TargetKey>(target) | 0x70000000U;
    }
    static std::size_t indexOf(membership::TargetKey key) { return key & 0xffffU; }

    void count(Daemon &sender, Daemon &receiver, const peers::Datagram &datagram,
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
        refreshOwn(daemon);
        if (method_ == ExchangeMethod::AllToAll)
            sendToAll(index);
        if (method_ == ExchangeMethod::MeetingPoints) {
            reportToPoints(index);
            returnSums(index);
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
                count(daemon, daemons_[other], report, size);
        }
        for (const LoadEntry &entry : changes) {
            const auto old = before.targets.find(entry.target);
            const double change = tokensOf(entry.load)
                                  - (old == before.targets.end() ? 0 : tokensOf(old->second.load));
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

    void reportToPoints(std::size_t index)
    {
        Daemon &daemon = daemons_[index];
        const auto loads = currentLoads(daemon);
        for (std::size_t point = 0; point < kDaemons; ++point) {
            std::vector<LoadEntry> entries;
            bool serves = false;
            for (const LoadEntry &entry : loads) {
                if (points_[indexOf(entry.target)] != point)
                    continue;
                serves = true;
                entries.push_back(entry);
            }
            if (!serves)
                continue;
            const auto changes =
                    membership::takeChanges(daemon.sent[point], entries, time(), options_);
            // An empty report asks a meeting point for sums.
            const bool keepAlive = std::fmod(now_, kKeepAliveSeconds) < interval_;
            if (changes.empty() && !keepAlive)
                continue;
            if (point != index)
                count(daemon, daemons_[point], peers::LoadReport{ name(index), kLife, changes },
                      changes.size());
            membership::recordReport(daemons_[point].board, name(index), kLife, changes, time());
        }
    }

    void returnSums(std::size_t index)
    {
        Daemon &point = daemons_[index];
        membership::expireReports(point.board, time(), options_);
        for (std::size_t reader = 0; reader < kDaemons; ++reader) {
            const auto sums = membership::takeSums(point.board, name(reader), time(), options_);
            if (sums.empty())
                continue;
            if (reader != index)
                count(point, daemons_[reader], peers::LoadSums{ sums }, sums.size());
            for (const LoadEntry &entry : sums)
                daemons_[reader].othersTokens[indexOf(entry.target)] = tokensOf(entry.load);
        }
    }

    // The point of a target knows its queue, which is better than what real reports would tell it.
    void grant(std::size_t index)
    {
        Daemon &point = daemons_[index];
        std::array<std::vector<LoadEntry>, kDaemons> messages;
        for (std::size_t target = 0; target < kTargets; ++target) {
            if (points_[target] != index)
                continue;
            double total = 0;
            for (const Daemon &daemon : daemons_)
                total += daemon.demand[target] + kShortTokens;
            const double backlog = std::max(0.0, queueEnd_[target] - now_) * kPrefillRate;
            const double capacity = 2 * interval_ * kPrefillRate - backlog;
            for (std::size_t i = 0; i < kDaemons; ++i) {
                Daemon &daemon = daemons_[i];
                daemon.grant[target] = capacity * (daemon.demand[target] + kShortTokens) / total;
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
            // A demand report in one direction and the grant in the other.
            count(daemons_[i], point, peers::LoadReport{ name(i), kLife, messages[i] },
                  messages[i].size());
            count(point, daemons_[i], peers::LoadSums{ messages[i] }, messages[i].size());
        }
    }

    static double percentile(std::vector<double> values, double share)
    {
        const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size()));
        std::nth_element(values.begin(), values.begin() + place, values.end());
        return values[static_cast<std::size_t>(place)];
    }

    ExchangeResult result() const
    {
        ExchangeResult result;
        std::vector<double> all = shortTtft_;
        all.insert(all.end(), longTtft_.begin(), longTtft_.end());
        result.shortP99Ms = percentile(shortTtft_, 0.99);
        result.allP99Ms = percentile(all, 0.99);
        for (const Daemon &daemon : daemons_) {
            result.sentMean += daemon.sentBytes / kMeasuredSeconds / kDaemons;
            result.bothMax = std::max(result.bothMax,
                                      (daemon.sentBytes + daemon.receivedBytes) / kMeasuredSeconds);
        }
        result.bytesPerEntry = encodedEntries_ == 0 ? 0 : encodedBytes_ / encodedEntries_;
        return result;
    }

    static constexpr std::uint64_t kLife = 1'790'000'000'000; // Milliseconds of a date in 2026.

    ExchangeMethod method_;
    double interval_ = 0; ///< Between two ticks of a daemon, in seconds.
    std::mt19937_64 random_;
    membership::LoadDigestOptions options_;
    std::discrete_distribution<std::size_t> prefixes_;
    std::array<Daemon, kDaemons> daemons_;
    std::array<std::size_t, kTargets> points_{};
    std::array<double, kTargets> queueEnd_{};
    std::vector<double> shortTtft_;
    std::vector<double> longTtft_;
    double encodedBytes_ = 0;
    double encodedEntries_ = 0;
    double now_ = 0;
};

} // namespace

ExchangeResult simulateExchange(ExchangeMethod method, std::chrono::milliseconds spacing,
                                std::uint64_t seed)
{
    return Model(method, spacing, seed).run();
}

} // namespace chervilfield::bench
