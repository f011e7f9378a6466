#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::leases {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Times of a lease. All instances use the times that the holder wrote into the row.
struct LeaseTimes
{
    /// Time for which a holder may act after it sent its last successful write.
    std::chrono::milliseconds duration{ 3000 };
    /// Time after its authorization at which an engine refuses an order.
    std::chrono::milliseconds orderLifetime{ 1000 };
    /// Longest time for which an accepted order occupies what the lease protects; zero for an
    /// engine lease, the time of a weight load for a slot.
    std::chrono::milliseconds effectDuration{ 0 };

    bool operator==(const LeaseTimes &) const = default;
};

/// Bounds on clocks that the rules rely on.
struct ClockBounds
{
    /// A monotonic clock measures `t` as at least `t * (1 - maxRateError)` and at most
    /// `t * (1 + maxRateError)`. Quartz is within 0.0002; the default leaves room for slewing.
    double maxRateError = 0.01;
    /// Largest difference between the wall clocks of any instance and any engine.
    std::chrono::milliseconds maxWallOffset{ 250 };
};

/// Value of the row `leases/<engine>` or `leases/load-slots/<n>`.
struct LeaseRow
{
    std::string holder;      ///< Process life; empty after a release.
    std::uint64_t fence = 0; ///< Grows with each change of holder.
    LeaseTimes times;
    std::string target; ///< The engine that the holder gives orders to.

    bool operator==(const LeaseRow &) const = default;
};

/// Returns the key of the lease of `engine`. Slashes in the name are replaced, so that no engine
/// gets the row of a slot.
std::string leaseKey(std::string_view engine);

/// Returns the JSON text of `row`.
std::string encodeLease(const LeaseRow &row);

/// Parses the text of `encodeLease`. Errors: `InvalidJson`, `InvalidField`.
std::optional<LeaseRow> decodeLease(std::string_view text, std::error_code &error);

/// Whether the engines that the lease protects refuse an order with an old fencing number. An
/// engine that forgets the number when it restarts counts as `Ignored`.
enum class FencingMode { Enforced, Ignored };

/// How long a row has been seen unchanged by this process.
struct Observation
{
    std::uint64_t version = 0;
    SteadyTime firstSeen;
};

/// Updates `last` with a read of the row that was answered at `now`. The time of a renewal by the
/// holder starts the observation anew.
Observation observe(const std::optional<Observation> &last, std::uint64_t version, SteadyTime now);

/// Returns how long the row must be seen unchanged before it may be taken over. It covers the
/// lease, measured by a fast clock here and a slow one at the holder. Where the fencing number is
/// ignored or an order has a lasting effect, it also covers the lifetime of an order authorized at
/// the last moment, the difference of the wall clocks and the effect.
std::chrono::milliseconds takeoverWait(const LeaseRow &row, FencingMode check,
                                       const ClockBounds &clocks);

/// Returns true if and only if the row may be taken over at `now`. A row without a holder is free.
bool canTake(const LeaseRow &row, const Observation &observation, FencingMode check,
             const ClockBounds &clocks, SteadyTime now);

/// What a process that wants a lease needs to know to write the row.
struct LeaseRequest
{
    std::string holder; ///< Life of this process.
    std::string target;
    LeaseTimes times;
};

/// Returns the row that takes the lease over from `current`, absent if there is no row. Write it on
/// the condition of the version that was observed.
LeaseRow takenRow(const std::optional<LeaseRow> &current, const LeaseRequest &request);

/// A lease that this process holds, to the best of its knowledge.
struct HeldLease
{
    LeaseRow row;
    std::uint64_t version = 0;
    SteadyTime sentAt;   ///< Read before the last successful write was sent.
    WallTime sentAtWall; ///< Read before the last successful write was sent.
    /// When the last authorized order is certainly refused by the engine, plus its effect.
    SteadyTime busyUntil;
};

/// Returns the time after which the holder must not act. The lease counts from the moment before
/// the write was sent, because others count from the moment at which they see it.
SteadyTime validUntil(const HeldLease &holding, const ClockBounds &clocks);

/// Updates `holding` after a renewal, which writes the same row again, was applied as `version`.
/// `sentAt` and `sentAtWall` were read before it was sent.
void recordRenewal(HeldLease &holding, std::uint64_t version, SteadyTime sentAt,
                   WallTime sentAtWall);

/// Fields of an order that an engine checks.
struct OrderGuard
{
    std::uint64_t fence = 0;
    WallTime expires; ///< `expires_ms`: the engine refuses the order from this time of its clock.
};

/// Returns the guard for an order, or nothing if the lease has ended by the clock of this process.
/// A pause of the process after this call is safe: the expiry is bounded by the time at which the
/// lease was last written, whatever `wallNow` is.
std::optional<OrderGuard> authorize(HeldLease &holding, const ClockBounds &clocks, SteadyTime now,
                                    WallTime wallNow);

/// Records that the engine has answered every order of this lease and that no effect lasts.
void recordOrdersSettled(HeldLease &holding);

/// Returns the row that releases the lease, or nothing while an order may still be applied or have
/// an effect. The fencing number stays.
std::optional<LeaseRow> releasedRow(const HeldLease &holding, SteadyTime now);

} // namespace chervilfield::leases
