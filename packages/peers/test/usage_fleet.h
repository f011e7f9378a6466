#pragma once

#include "peers/usage_exchange.h"
#include "usage/usage_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::peers {

using std::chrono::milliseconds;

/// Conditions of a simulated fleet of instances that limit the usage of one customer.
struct UsageConditions
{
    std::size_t instances = 12;
    std::size_t wideInstances = 4;     ///< Instances with the widest link.
    std::size_t servingInstances = 12; ///< Instances that receive the requests.
    milliseconds maxDelay{ 5 };        ///< Delay of messages, uniform from 1 ms.
    double loss = 0;                   ///< Share of the messages that are lost.
    double refundShare = 0;            ///< Share of the admitted requests that no target runs.
    milliseconds detectionTime{ 1000 };
    std::vector<std::pair<double, double>> costs; ///< Costs of requests with their probability.
};

/// Simulates instances with their limiters and exchanges in steps of 10 ms, and records the cost of
/// the requests that targets run. Traffic and control state are copied every 50 ms, as on the two
/// threads of an instance.
class UsageFleet
{
public:
    static constexpr milliseconds kStep{ 10 };
    static constexpr milliseconds kTick{ 50 };

    UsageFleet(UsageConditions conditions, fleet::UsageLimit limit, std::uint64_t seed)
        : conditions_(std::move(conditions)), random_(seed)
    {
        for (std::size_t i = 0; i < conditions_.instances; ++i)
            start(limit);
        // These instances know each other from the beginning.
        for (auto &instance : instances_)
            instance->startedAt -= milliseconds(10'000);
    }

    /// Adds an instance, which learns of the others after 300 ms and they of it after 500 ms.
    void start(const std::optional<fleet::UsageLimit> &limit)
    {
        const std::size_t index = instances_.size();
        const std::string name = "entry-" + std::to_string(index);
        auto instance = std::make_unique<Instance>();
        instance->name = name;
        instance->startedAt = now_;
        instance->limit = limit;
        instance->tickOffset = milliseconds(10 * uniform(0, 4));
        instance->limiter.emplace(now_, random_());
        instance->exchange.emplace(name, 1,
                                   [this, index](const std::string &to, const Datagram &datagram) {
                                       send(index, to, datagram);
                                   });
        instances_.push_back(std::move(instance));
    }
    void kill(std::size_t index) { instances_[index]->deadSince = now_; }
    void freeze(std::size_t index, milliseconds time)
    {
        instances_[index]->frozenSince = now_;
        instances_[index]->frozenUntil = now_ + time;
    }
    /// Separates the instances for which `isApart` is set from the others.
    void partition(const std::vector<bool> &isApart, milliseconds time)
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
            instances_[i]->isApart = i < isApart.size() && isApart[i];
        partitionedSince_ = now_;
        partitionedUntil_ = now_ + time;
    }
    /// Puts a limit in force at each instance, within 500 ms.
    void setLimit(const std::optional<fleet::UsageLimit> &limit)
    {
        for (auto &instance : instances_)
            instance->nextLimit = { now_ + milliseconds(uniform(0, 500)), limit };
    }

    /// Runs with requests whose cost per second is `demand` on average. `isAccepted` may suppress
    /// a request before it is made.
    template<typename Filter>
    void run(milliseconds time, double demand, Filter isAccepted)
    {
        double meanCost = 0;
        for (const auto &[cost, probability] : conditions_.costs)
            meanCost += cost * probability;
        std::poisson_distribution<int> arrivals(demand / meanCost
                                                * std::chrono::duration<double>(kStep).count());
        for (const usage::Time end = now_ + time; now_ < end; now_ += kStep) {
            deliverMessages();
            for (int i = arrivals(random_); i > 0; --i) {
                const double cost = randomCost();
                if (isAccepted(cost, now_))
                    request(cost);
            }
            for (std::size_t i = 0; i < instances_.size(); ++i)
                tick(i);
        }
    }
    void run(milliseconds time, double demand)
    {
        run(time, demand, [](double, usage::Time) { return true; });
    }

    /// Returns the largest cost in a window of the given time that began after `from`.
    double largestWindow(milliseconds window, usage::Time from) const
    {
        double largest = 0;
        double sum = 0;
        auto first = costs_.lower_bound(from);
        for (auto last = first; last != costs_.end(); ++last) {
            sum += last->second;
            for (; last->first - first->first >= window; ++first)
                sum -= first->second;
            largest = std::max(largest, sum);
        }
        return largest;
    }

    usage::Time now() const { return now_; }
    std::size_t size() const { return instances_.size(); }
    std::size_t refusals() const { return refusals_; }
    double totalCost() const
    {
        double sum = 0;
        for (const auto &[time, cost] : costs_)
            sum += cost;
        return sum;
    }
    /// Returns the index of the instance that aggregates the customer, in its own view.
    std::optional<std::size_t> aggregator() const
    {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (!instances_[i]->deadSince && instances_[i]->exchange->aggregatedCustomers() > 0)
                return i;
        }
        return std::nullopt;
    }
    const UsageExchange &exchange(std::size_t index) const { return *instances_[index]->exchange; }
    usage::UsageLimiter &limiter(std::size_t index) { return *instances_[index]->limiter; }
    int uniform(int first, int last)
    {
        return std::uniform_int_distribution<int>(first, last)(random_);
    }

private:
    struct Instance
    {
        std::string name;
        usage::Time startedAt;
        milliseconds tickOffset{ 0 };
        std::optional<usage::Time> deadSince;
        std::optional<usage::Time> frozenSince;
        usage::Time frozenUntil{};
        bool isApart = false;
        std::optional<fleet::UsageLimit> limit;
        std::optional<std::pair<usage::Time, std::optional<fleet::UsageLimit>>> nextLimit;
        std::optional<usage::UsageLimiter> limiter;
        std::optional<UsageExchange> exchange;
        std::vector<usage::UsageBalance> balances; ///< On their way to the traffic thread.
        std::vector<membership::Member> members;
        std::optional<fleet::UsageLimit> assignedLimit;
    };
    struct Message
    {
        std::size_t from;
        std::string to;
        Datagram datagram;
    };
    struct Refund
    {
        std::size_t instance;
        fleet::UsageLimit limit;
        double cost;
    };

    bool isFrozen(const Instance &instance) const
    {
        return instance.frozenSince && now_ < instance.frozenUntil;
    }
    bool areApart(const Instance &a, const Instance &b) const
    {
        return now_ < partitionedUntil_ && a.isApart != b.isApart;
    }

    /// Returns true if `observer` takes `other` for live.
    bool isSeenLive(const Instance &observer, const Instance &other) const
    {
        const auto isDetected = [&](usage::Time since) {
            return now_ - since > conditions_.detectionTime;
        };
        if (&observer == &other)
            return true;
        if (other.deadSince && isDetected(*other.deadSince))
            return false;
        if (isFrozen(other) && isDetected(*other.frozenSince))
            return false;
        return !(areApart(observer, other) && isDetected(partitionedSince_));
    }

    std::vector<membership::Member> membersSeenBy(const Instance &observer) const
    {
        std::vector<membership::Member> members;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            const Instance &other = *instances_[i];
            const bool isKnown = now_ - other.startedAt >= milliseconds(500)
                                 && now_ - observer.startedAt >= milliseconds(300);
            if (!isKnown && &other != &observer)
                continue;
            members.push_back({ .name = other.name,
                                .peerAddress = other.name,
                                .life = 1,
                                .state = isSeenLive(observer, other)
                                                 ? membership::MemberState::Alive
                                                 : membership::MemberState::Dead,
                                .linkMbps = i < conditions_.wideInstances ? 200U : 10U });
        }
        return members;
    }

    void send(std::size_t from, const std::string &to, const Datagram &datagram)
    {
        const bool isLost = std::bernoulli_distribution(conditions_.loss)(random_);
        // Only what the wire carries reaches the receiver.
        const auto decoded = decode(*encode(datagram));
        if (isLost || !decoded)
            return;
        const milliseconds delay(uniform(1, static_cast<int>(conditions_.maxDelay.count())));
        messages_.emplace(now_ + delay, Message{ from, to, *decoded });
    }

    void deliverMessages()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const Message message = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            const auto to = std::ranges::find(instances_, message.to,
                                              [](const auto &item) { return item->name; });
            Instance &receiver = **to;
            if (receiver.deadSince || areApart(receiver, *instances_[message.from]))
                continue;
            if (isFrozen(receiver)) { // The socket keeps the message.
                messages_.emplace(receiver.frozenUntil, message);
                continue;
            }
            const std::string &address = instances_[message.from]->name;
            if (const auto *report = std::get_if<UsageReport>(&message.datagram))
                receiver.exchange->receive(address, *report, now_);
            else if (const auto *balances = std::get_if<UsageBalances>(&message.datagram))
                receiver.exchange->receive(address, *balances, now_);
        }
        while (!refunds_.empty() && refunds_.begin()->first <= now_) {
            const Refund refund = refunds_.begin()->second;
            refunds_.erase(refunds_.begin());
            instances_[refund.instance]->limiter->refund("c", refund.limit, refund.cost, now_);
        }
    }

    void request(double cost)
    {
        const int last =
                static_cast<int>(std::min(conditions_.servingInstances, instances_.size())) - 1;
        const auto index = static_cast<std::size_t>(uniform(0, last));
        Instance &instance = *instances_[index];
        if (instance.deadSince || isFrozen(instance))
            return;
        if (!instance.limit) {
            costs_[now_] += cost;
            return;
        }
        if (instance.limit->unit == fleet::CostUnit::Requests)
            cost = 1;
        if (instance.limiter->admit("c", *instance.limit, cost, now_))
            ++refusals_;
        else if (std::bernoulli_distribution(conditions_.refundShare)(random_))
            refunds_.emplace(now_ + milliseconds(100), Refund{ index, *instance.limit, cost });
        else
            costs_[now_] += cost;
    }

    void tick(std::size_t index)
    {
        Instance &instance = *instances_[index];
        if ((now_.time_since_epoch() + instance.tickOffset) % kTick != milliseconds(0)
            || instance.deadSince || isFrozen(instance))
            return;
        if (instance.nextLimit && instance.nextLimit->first <= now_) {
            instance.limit = instance.nextLimit->second;
            instance.nextLimit.reset();
        }
        instance.limiter->applyBalances(instance.balances, now_);
        auto members = membersSeenBy(instance);
        if (members != instance.members || instance.limit != instance.assignedLimit) {
            std::vector<LimitedCustomer> limits;
            if (instance.limit)
                limits.push_back({ "c", *instance.limit });
            instance.exchange->assign(members, limits, now_);
            instance.members = std::move(members);
            instance.assignedLimit = instance.limit;
        }
        const auto live = static_cast<std::size_t>(
                std::ranges::count_if(instance.members, membership::canTakeWork));
        instance.limiter->setInstances(live, instance.members.size());
        instance.exchange->tick(instance.limiter->totals(now_), live, instance.members.size(),
                                now_);
        instance.balances = instance.exchange->takeBalances();
    }

    double randomCost()
    {
        double value = std::uniform_real_distribution<double>()(random_);
        for (const auto &[cost, probability] : conditions_.costs) {
            value -= probability;
            if (value <= 0)
                return cost;
        }
        return conditions_.costs.back().first;
    }

    UsageConditions conditions_;
    std::mt19937_64 random_;
    usage::Time now_{ std::chrono::hours(1) };
    std::vector<std::unique_ptr<Instance>> instances_;
    std::multimap<usage::Time, Message> messages_;
    std::multimap<usage::Time, Refund> refunds_;
    usage::Time partitionedSince_{};
    usage::Time partitionedUntil_{};
    std::map<usage::Time, double> costs_; ///< Cost of the requests that targets run, by time.
    std::size_t refusals_ = 0;
};

} // namespace chervilfield::peers
