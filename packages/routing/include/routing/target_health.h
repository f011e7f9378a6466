#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace chervilfield::routing {

/// Point in time of the caller's monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// Parameters of the health comparison.
struct HealthOptions
{
    std::chrono::milliseconds window{ 5'000 };       ///< Older samples do not count.
    std::chrono::milliseconds updateInterval{ 250 }; ///< Minimum time between two weight changes.
    /// Time without a sample after which a reduced target is probed.
    std::chrono::milliseconds probeInterval{ 1'000 };
    /// Time without a sample after which slowness is reset to 1, so that the weight recovers.
    std::chrono::milliseconds sampleTimeout{ 30'000 };
    std::size_t minSamples = 4;    ///< Jobs needed before a target is compared.
    std::size_t minTargets = 3;    ///< Compared targets needed to compute the pool's median.
    double slowRatio = 1.6;        ///< Relative slowness at which the weight is reduced.
    double healthyRatio = 1.25;    ///< Relative slowness below which a reduced weight recovers.
    double minWeight = 0.05;       ///< Above 0, so that a reduced target still gets samples.
    double minFallFactor = 0.5;    ///< Smallest factor by which one update lowers a weight.
    double maxRisePerUpdate = 0.1; ///< Largest increase of a weight in one update.
    double maxReducedShare = 0.34; ///< Largest share of the pool that may have a reduced weight.
};

/// Observed and predicted time of one job on one target. A job counts once, however often it is
/// recorded; a job that is still waiting may be recorded with the time that has passed so far.
struct JobTimes
{
    std::uint64_t job = 0;
    std::chrono::microseconds observed{ 0 };
    std::chrono::microseconds predicted{ 0 }; ///< 0 if unknown; the times are then not compared.
};

/// Ring buffer of the ratios of observed to predicted time of the last jobs, one value per job.
struct RatioWindow
{
    static constexpr std::size_t kCapacity = 16;

    struct Sample
    {
        std::uint64_t job = 0; ///< Number of the job, or of the peer if `fromPeer` is true.
        TimePoint at{};
        float ratio = 0; ///< 0 marks an unused sample.
        bool fromPeer = false;
    };
    std::array<Sample, kCapacity> samples{};
    std::size_t next = 0; ///< Position of the next sample to write.
};

/// Health of one target as one daemon observes it. `weight` scales the target's routing weight and
/// `slowness` its predicted times. Both are relative to the pool.
struct TargetHealth
{
    RatioWindow firstToken;
    RatioWindow interToken;
    double slowness = 1;    ///< 1 is the median of the pool.
    double weight = 1;      ///< At most 1.
    bool isReduced = false; ///< The weight is lowered because of slowness.
    TimePoint updatedAt{};
    TimePoint lastSampleAt{};
    TimePoint lastProbeAt{};
};

/// Records the time to the first token of a job.
void recordFirstToken(TargetHealth &health, const JobTimes &times, TimePoint now);

/// Records the mean time between the tokens that a job has produced so far.
void recordInterToken(TargetHealth &health, const JobTimes &times, TimePoint now);

/// Median ratios of one target over a daemon's own jobs, in the form that daemons exchange; 0 means
/// that there was no job. At the design scale, one daemon sends a job to a given target only about
/// once a minute, so daemons depend on the observations of their peers.
struct HealthDigest
{
    float firstToken = 0;
    float interToken = 0;
};

/// Returns the digest of the daemon's own samples within the window.
HealthDigest ownHealth(const TargetHealth &health, const HealthOptions &options, TimePoint now);

/// Records the observations of daemon `peer`. Each peer counts as one job; its next digest replaces
/// the previous one.
void recordPeerHealth(TargetHealth &health, std::uint64_t peer, const HealthDigest &digest,
                      TimePoint now);

/// Compares the targets of one pool with each other and updates their slowness and weight by one
/// step. It uses the median over jobs, so that a straggling job does not count against its target,
/// and the median over targets, so that a load peak that slows the whole pool reduces none of them.
/// The caller calls it at least every `updateInterval`; earlier calls change nothing.
void updateHealth(std::span<TargetHealth> pool, const HealthOptions &options, TimePoint now);

/// Returns true if and only if a reduced target has had neither a sample nor a probe for the probe
/// interval. The caller then sends it one short idempotent request and calls `recordProbe()`.
bool isProbeDue(const TargetHealth &health, const HealthOptions &options, TimePoint now);

/// Records that a probe was sent to the target.
void recordProbe(TargetHealth &health, TimePoint now);

} // namespace chervilfield::routing
