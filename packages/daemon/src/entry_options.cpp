#include "daemon/entry_options.h"

#include <algorithm>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

// Share of the platform's retry allowance that the instances use. The platform also counts callers'
// own retries and requests that overlap with a failure, so the rest is left for them.
constexpr double kOwnRetryShare = 0.6;
// Share of the memory for requests that are read or answered. Responses have a quarter, too; the
// rest is for the view of the deployment, the allocator and the buffers of connections to targets.
constexpr double kRequestMemoryShare = 0.25;
constexpr double kMebibyte = 1U << 20U;
// A body of 4 MiB fits, whatever the settings say.
constexpr double kMinRequestMemory = 8 * kMebibyte;
// Time before the platform kills the process that is reserved for the last writes and the exit.
constexpr milliseconds kExitMargin{ 400 };
// Time for requests in progress after new connections are no longer accepted.
constexpr milliseconds kFinishTime{ 1400 };
// Time within which requests arrive that callers sent just before their address list expired.
constexpr milliseconds kLateArrivalTime{ 500 };

} // namespace

entry::EntryOptions entryOptions(const Settings &settings)
{
    const EntrySettings &entry = *settings.entry;
    entry::EntryOptions options{ .instance = settings.instanceName,
                                 .dataCentre = settings.dataCentre,
                                 .callerAddress = settings.callers,
                                 .readinessAddress = entry.ready,
                                 .directoryAddress = entry.directory,
                                 .peerAddress = settings.peers,
                                 .metricsAddress = entry.metrics,
                                 .storeAddress = settings.platform,
                                 .memoryMb = entry.memoryMb,
                                 .linkMbps = static_cast<std::uint32_t>(entry.linkMbps),
                                 .seeds = settings.seeds,
                                 .protocolPeriod = settings.protocolPeriod,
                                 .leaseDuration = entry.leaseDuration,
                                 .enginesCheckFences = entry.enginesCheckFences,
                                 .learnsPerformance = entry.learnsPerformance,
                                 .staleWeightsLimit = entry.staleWeightsLimit,
                                 .settleTime = entry.settleTime,
                                 .targetDrainTime = entry.targetDrainTime,
                                 .retryRatio = entry.retryRatio * kOwnRetryShare,
                                 .retryBurst = entry.retryBurst * kOwnRetryShare,
                                 .retryWindow = entry.retryWindow };
    if (entry.memoryMb > 0)
        options.requestMemoryBytes = static_cast<std::size_t>(
                std::max(entry.memoryMb * kMebibyte * kRequestMemoryShare, kMinRequestMemory));
    options.addressLifetime = std::min(settings.entriesTtl, entry.maxAddressLifetime);
    options.drainLimit = entry.gracePeriod - kExitMargin;
    options.drainListenTime = options.drainLimit - kFinishTime;
    options.drainAcceptTime =
            std::min(options.addressLifetime + kLateArrivalTime, options.drainLimit / 2);
    return options;
}

} // namespace chervilfield::daemon
