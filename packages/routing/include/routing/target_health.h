#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>

namespace chervilfield::routing {

using TimePoint = std::chrono::steady_clock::time_point;

struct HealthOptions
{
    std::chrono::milliseconds window{ 5'000 };       ///< Samples older than this do not count.
    std::chrono::milliseconds updateInterval{ 250 }; ///< Least time between two weight changes.
    std::chrono::milliseconds probeInterval{
        1'000
    }; ///< Longest time a reduced target goes unsampled.
    std::chrono::milliseconds sampleTimeout{
        30'000
    };                             ///< Without samples, weight recovers after this.
    std::size_t minSamples = 4;    ///< Jobs needed before a target is judged.
    std::size_t minTargets = 3;    ///< Judged targets needed for a comparison with the pool.
    double slowRatio = 1.6;        ///< Relative slowness at which the weight starts to fall.
    double healthyRatio = 1.25;    ///< Relative slowness below which it starts to rise.
    double minWeight = 0.05;       ///< Least weight; keeps a trickle of samples flowing.
    double minFallFactor = 0.5;    ///< Least factor by which one update lowers a weight.
    double maxRisePerUpdate = 0.1; ///< Greatest increase of a weight in one update.
    double maxReducedShare = 0.34; ///< Greatest share of the pool with a reduced weight.
};

/// Times of one job on one target. A job counts once, however often it is recorded; a job that is
/// still waiting may be recorded with the time that has passed so far.
struct JobTimes
{
    std::uint64_t job = 0;
    std::chrono::microseconds observed{ 0 };
    std::chrono::microseconds predicted{ 0 };
};

/// Ratios of observed to predicted time of the last jobs, one value per job.
struct RatioWindow
{
    static constexpr std::size_t kCapacity = 16;

    struct Sample
    {
        std::uint64_t job = 0;
        TimePoint at{};
        float ratio = 0; ///< 0 marks an unused sample.
        bool fromPeer = false;
    };
    std::array<Sample, kCapacity> samples{};
    std::size_t next = 0;
};

/// Health of one target as a daemon sees it. `weight` scales the target's routing weight;
/// `slowness` scales its predicted times. Both are relative to the pool.
struct TargetHealth
{
    RatioWindow firstToken;
    RatioWindow interToken;
    double slowness = 1;
    double weight = 1;
    bool reduced = false;
    TimePoint updatedAt{};
    TimePoint lastSampleAt{};
    TimePoint lastProbeAt{};
};

/// Records the time to the first token of a job.
void recordFirstToken(TargetHealth &health, const JobTimes &times, TimePoint now);

/// Records the mean time between tokens of a job so far.
void recordInterToken(TargetHealth &health, const JobTimes &times, TimePoint now);

/// Median ratios of one target over a daemon's own jobs, as daemons exchange them; 0 means that
/// there was no job. At the design scale one daemon sends a target a job only about once a minute,
/// so it depends on what its peers observe.
struct HealthDigest
{
    float firstToken = 0;
    float interToken = 0;
};

/// Returns the digest of the daemon's own samples within the window.
HealthDigest ownHealth(const TargetHealth &health, const HealthOptions &options, TimePoint now);

/// Records what daemon `peer` observed. Each peer counts as one job; its next digest replaces the
/// one before.
void recordPeerHealth(TargetHealth &health, std::uint64_t peer, const HealthDigest &digest,
                      TimePoint now);

/// Compares the targets of one pool with each other and moves slowness and weight one step. Uses
/// the median over jobs, so a straggling job does not count against its target, and the median over
/// targets, so a load peak that slows the whole pool reduces none of them. Call it at least every
/// `updateInterval`; calls in between change nothing.
void updateHealth(std::span<TargetHealth> pool, const HealthOptions &options, TimePoint now);

/// Returns true if and only if a reduced target has gone without sample and probe for the probe
/// interval; the caller then sends it one repeatable short request and calls `recordProbe()`.
bool isProbeDue(const TargetHealth &health, const HealthOptions &options, TimePoint now);

void recordProbe(TargetHealth &health, TimePoint now);

} // namespace chervilfield::routing
