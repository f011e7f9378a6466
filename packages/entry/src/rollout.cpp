#include "entry/rollout.h"

#include "base/boot_clock.h"
#include "base/hash.h"
#include "base/result.h"
#include "net/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace chervilfield::entry {

using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

const std::string kLeaseTable = "leases";
const std::string kLeaseKey = "weights";

// A lease must also expire while the machine is suspended.
leases::SteadyTime leaseNow()
{
    return leases::SteadyTime(base::BootClock::now().time_since_epoch());
}

} // namespace

Rollout::Rollout(boost::asio::io_context &context, fleet::Store &store,
                 fleet::EngineControl &engineControl, base::EventLog &log, Hooks hooks,
                 RolloutOptions options)
    : context_(context), store_(store), engineControl_(engineControl), log_(log),
      hooks_(std::move(hooks)), options_(std::move(options))
{
}

void Rollout::start()
{
    net::spawnCoroutine(context_, "[entry]", [this](const yield_context &yield) { run(yield); });
}

void Rollout::sleepFor(milliseconds time, const yield_context &yield)
{
    boost::asio::steady_timer timer(context_, time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

std::vector<LoadTask> Rollout::pendingTasks() const
{
    std::vector<LoadTask> result;
    const fleet::ViewPtr view = hooks_.view();
    for (const fleet::Target &target : view->targets()) {
        if (target.state != fleet::TargetState::Ready)
            continue;
        const auto seen = seenWeights_.find({ target.id, target.startedAt });
        for (const auto &[model, registered] : target.weights) {
            std::uint64_t loadedVersion = registered;
            if (seen != seenWeights_.end() && seen->second.contains(model))
                loadedVersion = std::max(loadedVersion, seen->second.at(model));
            const std::uint64_t desired = view->desiredWeights(model);
            if (loadedVersion < desired)
                result.push_back({ target, model, loadedVersion, desired });
        }
    }
    // New versions may be set faster than engines load them. Engines with the oldest weights come
    // first, so that none stays behind for long.
    std::ranges::stable_sort(result, {}, &LoadTask::currentVersion);
    return result;
}

void Rollout::updateProgress(const std::vector<LoadTask> &pending, Clock::time_point now)
{
    std::uint64_t tasksHash = 0;
    for (const LoadTask &task : pending)
        tasksHash ^= base::hash64(task.target.id, task.currentVersion);
    if (!pendingSince_ || tasksHash != pendingTasksHash_)
        pendingSince_ = now;
    pendingTasksHash_ = tasksHash;
}

bool Rollout::mayLead(Clock::time_point now) const
{
    if (heldLease_)
        return true;
    const auto live = hooks_.liveInstances();
    const auto own = std::ranges::find(live, options_.instance);
    const auto rank = own == live.end() ? live.size() : std::distance(live.begin(), own);
    return now - *pendingSince_ >= rank * options_.standbyDelay;
}

bool Rollout::holdsLease() const
{
    return heldLease_ && leaseNow() < leases::validUntil(*heldLease_, clockBounds_);
}

void Rollout::observeEra()
{
    if (store_.era() <= era_)
        return;
    era_ = store_.era();
    eraSeenAt_ = leaseNow();
    log_.write("rollout", "store-restored", { { "era", era_ }, { "held", holdsLease() } });
}

bool Rollout::ensureLease(const yield_context &yield)
{
    if (!holdsLease())
        return acquireLease(yield);
    const auto remaining = leases::validUntil(*heldLease_, clockBounds_) - leaseNow();
    if (heldLease_->era < era_)
        acquireLease(yield);
    else if (remaining < options_.lease.duration / 2)
        renewLease(yield);
    return holdsLease();
}

void Rollout::renewLease(const yield_context &yield)
{
    const auto sentAt = leaseNow();
    const auto sentAtWall = std::chrono::system_clock::now();
    std::error_code error;
    const auto version = store_.write({ .table = kLeaseTable,
                                        .key = kLeaseKey,
                                        .expectedVersion = heldLease_->version,
                                        .value = leases::encodeLease(heldLease_->row) },
                                      yield, error);
    observeEra();
    if (version && version->era == heldLease_->era) {
        leases::recordRenewal(*heldLease_, version->version, sentAt, sentAtWall);
        exclusiveUntil_ = leases::validUntil(*heldLease_, clockBounds_);
        return;
    }
    log_.write("rollout", "renewal-failed",
               { { "fence", heldLease_->row.fence },
                 { "result", base::resultInfo(base::toResult(error)).name } });
    // The store was restored, and the lease lasts until its end, but the row must be read again.
    if (heldLease_->era < era_)
        return;
    if (error == Result::RevisionConflict)
        exclusiveUntil_ = {};
    // After an undecided write the version of the row is unknown, so the lease must be read again.
    if (error == Result::RevisionConflict || error == Result::WriteUndecided)
        heldLease_.reset();
}

bool Rollout::mayTake(const std::optional<leases::LeaseRow> &current) const
{
    const auto now = leaseNow();
    if (leases::isFromEarlierEra(current, era_) && now >= exclusiveUntil_) {
        // The last holder may have been lost with its row, but all instances use the same times.
        const leases::LeaseRow lost{ .times = options_.lease };
        if (now - eraSeenAt_ < leases::takeoverWait(lost, options_.fencingMode, clockBounds_))
            return false;
    }
    if (!current || current->holder == options_.instance
        || (leases::isFromEarlierEra(current, era_) && now < exclusiveUntil_))
        return true;
    return leases::canTake(*current, *observation_, options_.fencingMode, clockBounds_, now);
}

bool Rollout::acquireLease(const yield_context &yield)
{
    if (!holdsLease())
        heldLease_.reset();
    const auto now = Clock::now();
    if (now - leaseReadAt_ < options_.leaseReadInterval)
        return false;
    leaseReadAt_ = now;
    std::error_code error;
    const auto rows = store_.readAll(kLeaseTable, yield, error);
    observeEra();
    if (!rows || rows->era < era_)
        return false;
    const auto found = std::ranges::find(rows->rows, kLeaseKey, &fleet::StoreRow::key);
    std::optional<leases::LeaseRow> current;
    std::uint64_t version = 0;
    if (found != rows->rows.end()) {
        version = found->version;
        current = leases::decodeLease(found->value, error);
        if (!current)
            return false;
        observation_ = leases::observe(observation_, version, leaseNow(), era_);
        highestFence_ = std::max(highestFence_, current->fence);
    }
    if (!mayTake(current))
        return false;
    const std::uint64_t era = era_;
    const std::uint64_t minFence = std::max(leases::minFence(era, version), highestFence_ + 1);
    const leases::LeaseRow row = leases::takenRow(current, { .holder = options_.instance,
                                                             .target = {},
                                                             .times = options_.lease,
                                                             .minFence = minFence });
    const auto sentAt = leaseNow();
    const auto sentAtWall = std::chrono::system_clock::now();
    const auto written = store_.write({ .table = kLeaseTable,
                                        .key = kLeaseKey,
                                        .expectedVersion = version,
                                        .value = leases::encodeLease(row) },
                                      yield, error);
    observeEra();
    // In another era the condition proves nothing, so the row must be read again.
    if (!written || written->era != era)
        return false;
    heldLease_ = leases::HeldLease{ .row = row, .version = written->version, .era = era };
    leases::recordRenewal(*heldLease_, written->version, sentAt, sentAtWall);
    exclusiveUntil_ = leases::validUntil(*heldLease_, clockBounds_);
    highestFence_ = std::max(highestFence_, row.fence);
    log_.write("rollout", "lease-taken",
               { { "fence", row.fence }, { "before", current ? current->holder : std::string() } });
    return true;
}

void Rollout::releaseLease(const yield_context &yield)
{
    exclusiveUntil_ = {};
    if (heldLease_->era < era_) {
        // The row of another era is not the one that was written.
        heldLease_.reset();
        return;
    }
    const leases::LeaseRow row{
        .holder = {}, .fence = heldLease_->row.fence, .times = heldLease_->row.times, .target = {}
    };
    std::error_code error;
    store_.write({ .table = kLeaseTable,
                   .key = kLeaseKey,
                   .expectedVersion = heldLease_->version,
                   .value = leases::encodeLease(row) },
                 yield, error);
    log_.write(
            "rollout", "lease-released",
            { { "fence", row.fence }, { "result", base::resultInfo(base::toResult(error)).name } });
    heldLease_.reset();
}

void Rollout::recordLoaded(const LoadTask &task, std::string_view how)
{
    seenWeights_[{ task.target.id, task.target.startedAt }][task.model] = task.desiredVersion;
    hooks_.progress(task, LoadStage::Done);
    log_.write("rollout", "weights-in-place",
               { { "target", task.target.id },
                 { "model", task.model },
                 { "weights", task.desiredVersion },
                 { "how", how } });
}

void Rollout::recordNotTaken(const LoadTask &task)
{
    hooks_.progress(task, LoadStage::NotTaken);
    log_.write("rollout", "order-not-taken",
               { { "target", task.target.id },
                 { "model", task.model },
                 { "weights", task.desiredVersion } });
}

void Rollout::followLoad(const LoadTask &task, const SentOrder &order, const yield_context &yield)
{
    bool isTaken = order.isTaken;
    bool wasBusy = order.wasBusy;
    const auto deadline = Clock::now() + options_.loadTimeout;
    while (Clock::now() < deadline) {
        sleepFor(options_.statePollInterval, yield);
        const auto polledAt = Clock::now();
        std::error_code error;
        const auto state = engineControl_.state(task.target, yield, error);
        if (!state) {
            if (!isTaken)
                recordNotTaken(task);
            return;
        }
        const auto weights = state->weights.find(task.model);
        if (weights != state->weights.end() && weights->second >= task.desiredVersion)
            return recordLoaded(task, "loaded");
        if (wasBusy && !state->isBusy)
            return recordNotTaken(task);
        wasBusy = state->isBusy;
        isTaken = isTaken || wasBusy;
        if (!isTaken && polledAt - order.sentAt >= options_.maxStateAge)
            return recordNotTaken(task);
    }
    recordNotTaken(task);
}

void Rollout::load(const LoadTask &task, const yield_context &yield)
{
    std::error_code error;
    const auto state = engineControl_.state(task.target, yield, error);
    if (!state)
        return;
    const auto weights = state->weights.find(task.model);
    if (weights != state->weights.end() && weights->second >= task.desiredVersion)
        return recordLoaded(task, "already");
    const auto now = Clock::now();
    if (state->isBusy) {
        // An earlier order that got no answer is executed late.
        hooks_.progress(task, LoadStage::Begun);
        return followLoad(task, { .sentAt = now, .isTaken = true, .wasBusy = true }, yield);
    }
    if (!holdsLease())
        return;
    lastOrderAt_ = now;
    hooks_.progress(task, LoadStage::Begun);
    const auto outcome = engineControl_.load(task.target,
                                             { .model = task.model,
                                               .version = task.desiredVersion,
                                               .leaseHolder = options_.instance,
                                               .fencingToken = heldLease_->row.fence,
                                               .expectedOrderCount = state->acceptedOrderCount },
                                             yield);
    log_.write("rollout", "ordered",
               { { "target", task.target.id },
                 { "model", task.model },
                 { "weights", task.desiredVersion },
                 { "outcome", static_cast<int>(outcome) } });
    switch (outcome) {
    case fleet::OrderOutcome::AlreadyDone:
        return recordLoaded(task, "already");
    case fleet::OrderOutcome::StaleFence:
        if (heldLease_)
            highestFence_ = std::max(highestFence_, heldLease_->row.fence);
        heldLease_.reset();
        exclusiveUntil_ = {};
        return recordNotTaken(task);
    case fleet::OrderOutcome::Rejected:
        return recordNotTaken(task);
    case fleet::OrderOutcome::Accepted:
        return followLoad(task, { .sentAt = now, .isTaken = true }, yield);
    case fleet::OrderOutcome::Busy:
    case fleet::OrderOutcome::Undecided:
        return followLoad(task, { .sentAt = now }, yield);
    }
}

std::size_t Rollout::maxParallelLoads() const
{
    const fleet::ViewPtr view = hooks_.view();
    const auto engineCount = std::ranges::count_if(
            view->targets(), [](const fleet::Target &target) { return !target.weights.empty(); });
    return std::max(
            options_.minParallelLoads,
            static_cast<std::size_t>(options_.maxParallelShare * static_cast<double>(engineCount)));
}

void Rollout::startLoads(std::vector<LoadTask> tasks)
{
    std::ranges::stable_sort(tasks, {}, [this](const LoadTask &task) {
        const auto found = retryAt_.find(task.target.id);
        return found == retryAt_.end() ? Clock::time_point::min() : found->second;
    });
    const std::size_t limit = maxParallelLoads();
    const auto now = Clock::now();
    for (const LoadTask &task : tasks) {
        const std::string &id = task.target.id;
        if (loadingEngines_.size() >= limit)
            return;
        const auto retryAt = retryAt_.find(id);
        if (loadingEngines_.contains(id) || (retryAt != retryAt_.end() && retryAt->second > now))
            continue;
        loadingEngines_.insert(id);
        net::spawnCoroutine(context_, "[entry]", [this, task](const yield_context &yield) {
            load(task, yield);
            retryAt_[task.target.id] = Clock::now() + options_.retryDelay;
            loadingEngines_.erase(task.target.id);
        });
    }
}

void Rollout::run(const yield_context &yield)
{
    while (true) {
        sleepFor(options_.tickInterval, yield);
        observeEra();
        const auto now = Clock::now();
        auto pending = pendingTasks();
        if (pending.empty() && loadingEngines_.empty()) {
            pendingSince_.reset();
            retryAt_.clear();
            if (heldLease_ && now - lastOrderAt_ > options_.leaseIdleTimeout)
                releaseLease(yield);
            continue;
        }
        updateProgress(pending, now);
        if (mayLead(now) && ensureLease(yield))
            startLoads(std::move(pending));
    }
}

} // namespace chervilfield::entry
