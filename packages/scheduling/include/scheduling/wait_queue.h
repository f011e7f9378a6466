#pragma once

#include "scheduling/customer_load.h"
#include "scheduling/types.h"
#include "scheduling/urgency.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace chervilfield::scheduling {

/// Returns the goal by which a request is ordered. A goal that leaves less than twice the expected
/// work is replaced by that time, so that the largest requests of a kind are not late from the
/// start and served last.
Time effectiveGoal(const ScheduledRequest &request);

/// Returns the time from which a request is expected to miss its effective goal.
Time latestStart(const ScheduledRequest &request);

/// Order of waiting requests that are not excess of a flood: smaller urgency first (see
/// `engineUrgency()`), then those that can still meet their goal, then the earlier latest start.
/// Ordered by the goal alone, an overloaded queue sends each request just too late.
bool isBefore(const ScheduledRequest &a, const ScheduledRequest &b, Time now);

/// Parameters of `WaitQueue`.
struct WaitQueueOptions
{
    /// Share of the sent work, in slot time, that the least urgent waiting requests get at least.
    double floorShare = 0.1;
    /// Number of requests of one length that may try at the same time while tries fail. Above 1, so
    /// that a request for which only few targets qualify does not stop those behind it.
    std::size_t minWindow = 2;
    std::size_t maxWindow = 64; ///< Maximum of the same number while tries succeed.
    /// Number of later requests sent before a waiting one, from which on it no longer holds up
    /// others. It still tries first itself.
    std::uint32_t maxOvertaken = 4;
    /// Time constant of `Standing::urgentGoalUse`, about the shortest usual goal.
    Seconds goalUseTimeConstant{ 0.3 };
    Seconds urgentSlotsTimeConstant{ 1 }; ///< Time constant of `Standing::urgentSlots`.
    CustomerLoadOptions customerLoad{};
};

/// Position of a waiting request relative to the other work of its pool at this instance.
struct Standing
{
    bool isReady = false;      ///< The request may try to be sent now.
    bool hasFloorTurn = false; ///< It is its turn by `WaitQueueOptions::floorShare`.
    bool isExcess = false;     ///< It exceeds by far what its customer usually sends.
    /// Expected work of more urgent requests that wait here: a lower bound of the work before it.
    Seconds workBefore{ 0 };
    /// Time to the first event of more urgent short requests as a share of the time to their goals,
    /// recently and of those that wait; 1 or more if they miss their goals.
    double urgentGoalUse = 0;
    /// Slots that more urgent short requests of this instance have recently used on average.
    double urgentSlots = 0;
};

/// What a `WaitQueue` has done since its start, for metrics.
struct WaitQueueCounts
{
    std::uint64_t added = 0;
    std::uint64_t excess = 0; ///< Added requests in excess of what their customers may send.
    std::uint64_t sent = 0;
    std::uint64_t sentByFloor = 0;  ///< Those of `sent` whose turn was by the floor.
    std::uint64_t refusedTries = 0; ///< Tries for which no target had capacity.
    /// Requests that were still in the queue at their deadline: the caller did not remove them.
    std::uint64_t expired = 0;
};

/// Orders the requests of one pool that wait at this instance for capacity. The caller polls
/// `ready()` for each of them and reports what its tries gave. Not safe for concurrent use.
///
/// The order is that of `isBefore()`; the excess of a customer's flood comes after all other
/// requests. Short prompts wait behind short ones only, because the limits that long prompts wait
/// for (prefill backlog, memory) do not apply to them. Long prompts and excess wait behind all
/// requests before them. The number of requests that may try at once grows with each one sent and
/// is halved when a try fails: a queue that lets only its first request poll would be slower than
/// the targets.
class WaitQueue
{
public:
    explicit WaitQueue(WaitQueueOptions options = {})
        : options_(options), customerLoad_(options.customerLoad)
    {
        windows_.fill(options_.minWindow);
    }

    /// Adds a request that has arrived or is to be sent again. Must be called before its first try.
    /// An entry with the same id is replaced.
    void add(const ScheduledRequest &request, Time now);

    /// Removes a request that leaves without being sent; ignores unknown ids.
    void remove(std::uint64_t id);

    /// Records that a request was ready and no target accepted it.
    void recordRefused(std::uint64_t id);

    /// Records that the request was sent, and removes it.
    void recordSent(std::uint64_t id, Time now);

    /// Records the arrival of the first event, or of the whole answer, at the caller.
    void recordFirstEvent(const ScheduledRequest &request, Time now);

    /// Returns true if the request may try to be sent now. Unknown ids are always ready.
    bool ready(std::uint64_t id, Time now) const;

    /// Returns the first request in the order, or no value if none waits.
    std::optional<std::uint64_t> next(Time now) const;

    /// Returns the position of the request; of an unknown one, that of a request without others.
    Standing standing(std::uint64_t id, Time now) const;

    std::size_t size() const { return entries_.size(); }

    const WaitQueueCounts &counts() const { return counts_; }

private:
    /// Level of excess, after all levels of `engineUrgency()`.
    static constexpr std::size_t kExcessLevel = kMaxUrgency + 1;
    static constexpr std::size_t kLevels = kExcessLevel + 1;
    enum Lane : std::size_t {
        ShortLane, ///< Short prompts that are not excess.
        HeldLane,  ///< Requests that also wait behind those of the other lane.
        LaneCount
    };

    struct Entry
    {
        ScheduledRequest request;
        Time goal{}; ///< Effective goal.
        Time latestStart{};
        Lane lane = ShortLane;
        std::size_t level = 0;
        std::uint32_t overtaken = 0; ///< Later requests of the same lane that were sent.
    };
    using Key = std::pair<Time, std::uint64_t>; ///< Latest start and id.
    struct Group
    {
        std::set<Key> keys;
        Seconds work{ 0 }; ///< Sum over the requests.
    };
    /// Exponentially weighted average or sum.
    struct Average
    {
        double value = 0;
        Time updatedAt{};
    };

    Group &groupOf(const Entry &entry);
    /// Calls `visit` for the entries of the group in order until it returns false. Returns false if
    /// it did.
    template<typename Visit>
    bool visitGroup(const Group &group, Time now, Visit visit) const;
    /// Calls `visit` for the entries of the lane in order until it returns false.
    template<typename Visit>
    void visitLane(Lane lane, Time now, Visit visit) const;
    bool holdsUpOthers(const Entry &entry, Time now) const;
    bool isReady(const Entry &entry, Time now) const;
    bool isWithinWindow(const Entry &entry, Time now) const;
    bool waitsBehindShort(const Entry &entry, Time now) const;
    bool hasFloorTurn(const Entry &entry, Time now) const;
    double urgentGoalUse(const Entry &entry, Time now) const;
    /// Returns the greatest level at which a request waits that is not excess.
    std::optional<std::size_t> leastUrgentLevel() const;
    void removeExpired(Time now);

    WaitQueueOptions options_;
    CustomerLoad customerLoad_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::array<std::array<Group, kLevels>, LaneCount> groups_; ///< By lane and level.
    std::array<std::size_t, LaneCount> windows_{};
    /// Work that requests of a level may still get by the floor, by level.
    std::array<Seconds, kLevels> floorCredit_{};
    std::array<Average, kLevels> goalUse_{}; ///< Of short requests, by level.
    /// Slot time of short requests that were sent within the time constant, by level.
    std::array<Average, kLevels> sentWork_{};
    Time lastExpiryAt_{};
    WaitQueueCounts counts_;
};

} // namespace chervilfield::scheduling
