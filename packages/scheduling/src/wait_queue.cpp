#include "scheduling/wait_queue.h"

#include "internal/values.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace chervilfield::scheduling {

using detail::boundedWork;
using detail::decayFactor;

namespace {

// Limit of the credit that is kept while nothing of its level can be sent, and of the debt.
constexpr Seconds kMaxFloorCredit{ 1 };

// Returns the share of the time to the goal that has passed, at most 10.
double goalUseOf(const ScheduledRequest &request, Time goal, Time now)
{
    constexpr double kMaxGoalUse = 10;
    const Seconds goalTime = goal - request.arrivedAt;
    if (goalTime <= Seconds(0))
        return kMaxGoalUse;
    return std::clamp(Seconds(now - request.arrivedAt) / goalTime, 0.0, kMaxGoalUse);
}

} // namespace

Time effectiveGoal(const ScheduledRequest &request)
{
    constexpr int kMinGoalWorkFactor = 2;
    // Routes without a latency goal have only the deadline.
    if (request.goalAt <= request.arrivedAt)
        return request.deadline;
    const auto minGoalTime = std::chrono::duration_cast<Time::duration>(
            kMinGoalWorkFactor * boundedWork(request.expectedWork));
    return std::max(request.goalAt, request.arrivedAt + minGoalTime);
}

Time latestStart(const ScheduledRequest &request)
{
    return effectiveGoal(request)
           - std::chrono::duration_cast<Time::duration>(boundedWork(request.expectedWork));
}

bool isBefore(const ScheduledRequest &a, const ScheduledRequest &b, Time now)
{
    const auto rank = [now](const ScheduledRequest &request) {
        const Time start = latestStart(request);
        return std::tuple(engineUrgency(request), start < now, start, request.id);
    };
    return rank(a) < rank(b);
}

WaitQueue::Group &WaitQueue::groupOf(const Entry &entry)
{
    return groups_.at(entry.lane).at(entry.level);
}

void WaitQueue::add(const ScheduledRequest &request, Time now)
{
    removeExpired(now);
    remove(request.id);
    // A stream that has begun is finished first whoever its customer is.
    const bool isExcess = customerLoad_.recordArrival(request.customer, now) && !request.hasStarted;
    Entry entry{ .request = request,
                 .goal = effectiveGoal(request),
                 .latestStart = latestStart(request),
                 .lane = isExcess || isLong(request) ? HeldLane : ShortLane,
                 .level = isExcess ? kExcessLevel
                                   : static_cast<std::size_t>(engineUrgency(request)) };
    entry.request.expectedWork = boundedWork(request.expectedWork);
    ++counts_.added;
    counts_.excess += isExcess ? 1 : 0;
    Group &group = groupOf(entry);
    group.keys.emplace(entry.latestStart, request.id);
    group.work += entry.request.expectedWork;
    entries_.emplace(request.id, std::move(entry));
}

void WaitQueue::remove(std::uint64_t id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    Group &group = groupOf(found->second);
    group.keys.erase({ found->second.latestStart, id });
    group.work -= found->second.request.expectedWork;
    if (group.keys.empty())
        group.work = Seconds(0);
    entries_.erase(found);
}

void WaitQueue::removeExpired(Time now)
{
    constexpr Seconds kInterval{ 1 };
    if (now - lastExpiryAt_ < kInterval)
        return;
    lastExpiryAt_ = now;
    std::vector<std::uint64_t> expired;
    for (const auto &[id, entry] : entries_) {
        if (entry.request.deadline <= now)
            expired.push_back(id);
    }
    counts_.expired += expired.size();
    for (const std::uint64_t id : expired)
        remove(id);
}

void WaitQueue::recordRefused(std::uint64_t id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    ++counts_.refusedTries;
    std::size_t &window = windows_.at(found->second.lane);
    window = std::max(options_.minWindow, window / 2);
}

bool WaitQueue::holdsUpOthers(const Entry &entry, Time now) const
{
    return entry.request.deadline > now && entry.overtaken < options_.maxOvertaken;
}

template<typename Visit>
bool WaitQueue::visitGroup(const Group &group, Time now, Visit visit) const
{
    // Late requests follow those that can still meet their goals.
    const auto onTime = group.keys.lower_bound(Key{ now, 0 });
    const auto visitKey = [&](const Key &key) { return visit(entries_.at(key.second)); };
    return std::all_of(onTime, group.keys.end(), visitKey)
           && std::all_of(group.keys.begin(), onTime, visitKey);
}

template<typename Visit>
void WaitQueue::visitLane(Lane lane, Time now, Visit visit) const
{
    for (const Group &group : groups_.at(lane)) {
        if (!visitGroup(group, now, visit))
            return;
    }
}

void WaitQueue::recordSent(std::uint64_t id, Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    const Entry &entry = found->second;
    std::size_t &window = windows_.at(entry.lane);
    window = std::min(options_.maxWindow, window + 1);
    const bool isByFloor = hasFloorTurn(entry, now);
    ++counts_.sent;
    counts_.sentByFloor += isByFloor ? 1 : 0;
    if (!isByFloor) {
        std::size_t count = 0;
        visitLane(entry.lane, now, [&](const Entry &other) {
            if (other.request.id == id || ++count > options_.maxWindow)
                return false;
            ++entries_.at(other.request.id).overtaken;
            return true;
        });
    }
    const std::size_t least = leastUrgentLevel().value_or(entry.level);
    const Seconds work = entry.request.expectedWork;
    Seconds &credit = floorCredit_.at(least);
    // Work that was sent in the usual order uses up credit, but leaves no debt.
    if (entry.level == least)
        credit = isByFloor ? credit - work : std::max(credit - work, std::min(credit, Seconds(0)));
    credit = std::clamp(credit + work * options_.floorShare, -kMaxFloorCredit, kMaxFloorCredit);
    if (entry.lane == ShortLane) {
        Average &sent = sentWork_.at(entry.level);
        sent.value *= decayFactor(now - sent.updatedAt, options_.urgentSlotsTimeConstant);
        sent.value += work.count();
        sent.updatedAt = now;
    }
    remove(id);
}

void WaitQueue::recordFirstEvent(const ScheduledRequest &request, Time now)
{
    const auto level = static_cast<std::size_t>(engineUrgency(request));
    if (isLong(request) || request.hasStarted)
        return;
    Average &use = goalUse_.at(level);
    const double decay = decayFactor(now - use.updatedAt, options_.goalUseTimeConstant);
    use.value = decay * use.value + (1 - decay) * goalUseOf(request, effectiveGoal(request), now);
    use.updatedAt = now;
}

std::optional<std::size_t> WaitQueue::leastUrgentLevel() const
{
    for (std::size_t level = kExcessLevel; level-- > 0;) {
        if (!groups_[ShortLane].at(level).keys.empty() || !groups_[HeldLane].at(level).keys.empty())
            return level;
    }
    return std::nullopt;
}

bool WaitQueue::hasFloorTurn(const Entry &entry, Time now) const
{
    if (leastUrgentLevel() != entry.level)
        return false;
    // Half of the work before the turn and half after it keep the share on average; each of many
    // instances would otherwise be one request behind.
    const Seconds credit = floorCredit_.at(entry.level);
    if (credit <= Seconds(0) || credit < std::min(entry.request.expectedWork / 2, kMaxFloorCredit))
        return false;
    bool isFirst = false;
    visitGroup(groups_.at(entry.lane).at(entry.level), now, [&](const Entry &first) {
        isFirst = first.request.id == entry.request.id;
        return false;
    });
    return isFirst;
}

bool WaitQueue::isWithinWindow(const Entry &entry, Time now) const
{
    std::size_t before = 0;
    bool isWithin = true;
    visitLane(entry.lane, now, [&](const Entry &other) {
        if (other.request.id == entry.request.id)
            return false;
        before += holdsUpOthers(other, now) ? 1 : 0;
        isWithin = before < windows_.at(entry.lane);
        return isWithin;
    });
    return isWithin;
}

bool WaitQueue::waitsBehindShort(const Entry &entry, Time now) const
{
    bool waits = false;
    visitLane(ShortLane, now, [&](const Entry &other) {
        if (other.level >= entry.level)
            return false;
        waits = holdsUpOthers(other, now);
        return !waits;
    });
    return waits;
}

bool WaitQueue::isReady(const Entry &entry, Time now) const
{
    if (entry.lane == HeldLane && waitsBehindShort(entry, now))
        return hasFloorTurn(entry, now);
    return isWithinWindow(entry, now) || hasFloorTurn(entry, now);
}

bool WaitQueue::ready(std::uint64_t id, Time now) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() || isReady(found->second, now);
}

std::optional<std::uint64_t> WaitQueue::next(Time now) const
{
    const Entry *first = nullptr;
    bool firstHasFloorTurn = false;
    const auto compare = [&](const Entry &entry) {
        const bool isByFloor = hasFloorTurn(entry, now);
        if (first == nullptr || (isByFloor && !firstHasFloorTurn)
            || (isByFloor == firstHasFloorTurn && entry.level < first->level)) {
            first = &entry;
            firstHasFloorTurn = isByFloor;
        }
        return false;
    };
    for (const Lane lane : { ShortLane, HeldLane }) {
        visitLane(lane, now, compare);
        if (const auto least = leastUrgentLevel())
            visitGroup(groups_.at(lane).at(*least), now, compare);
    }
    if (first == nullptr)
        return std::nullopt;
    return first->request.id;
}

double WaitQueue::urgentGoalUse(const Entry &entry, Time now) const
{
    double result = 0;
    for (std::size_t level = 0; level < entry.level; ++level) {
        const Average &use = goalUse_.at(level);
        result = std::max(
                result, use.value * decayFactor(now - use.updatedAt, options_.goalUseTimeConstant));
        const Group &waiting = groups_[ShortLane].at(level);
        if (waiting.keys.empty())
            continue;
        const Entry &first = entries_.at(waiting.keys.begin()->second);
        if (holdsUpOthers(first, now))
            result = std::max(result, goalUseOf(first.request, first.goal, now));
    }
    return result;
}

Standing WaitQueue::standing(std::uint64_t id, Time now) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return { .isReady = true };
    const Entry &entry = found->second;
    Standing result{ .isReady = isReady(entry, now),
                     .hasFloorTurn = hasFloorTurn(entry, now),
                     .isExcess = entry.level == kExcessLevel,
                     .urgentGoalUse = urgentGoalUse(entry, now) };
    for (std::size_t level = 0; level < entry.level; ++level) {
        result.workBefore += groups_[ShortLane].at(level).work + groups_[HeldLane].at(level).work;
        const Average &sent = sentWork_.at(level);
        result.urgentSlots += sent.value / options_.urgentSlotsTimeConstant.count()
                              * decayFactor(now - sent.updatedAt, options_.urgentSlotsTimeConstant);
    }
    return result;
}

} // namespace chervilfield::scheduling
