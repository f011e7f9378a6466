#include "daemon/entry_options.h"

#include <algorithm>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

// Part of the platform's allowance for repeated sends that this system uses. Callers' own attempts
// and sends that cross a failure are counted by the platform as well.
constexpr double kRetryShare = 0.6;
// Kept free before the process is killed, for the last bytes and the exit.
constexpr milliseconds kExitMargin{ 400 };
// Requests in progress have this long once no more connections are accepted.
constexpr milliseconds kFinishTime{ 1400 };
// Requests that callers sent just before they asked for addresses again arrive within this time.
constexpr milliseconds kLastArrivals{ 500 };

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
                                 .seeds = settings.seeds,
                                 .protocolPeriod = settings.protocolPeriod,
                                 .leaseDuration = entry.leaseTime,
                                 .enginesCheckFences = entry.enginesCheckFences,
                                 .staleWeightsLimit = entry.weightsLimit,
                                 .targetDrainTime = entry.drainTime,
                                 .retryRatio = entry.retryRatio * kRetryShare,
                                 .retryBurst = entry.retryBurst * kRetryShare,
                                 .retryWindow = entry.retryWindow };
    options.addressLifetime = std::min(settings.entriesTtl, entry.longestAddressLifetime);
    options.drainLimit = entry.grace - kExitMargin;
    options.drainListenTime = options.drainLimit - kFinishTime;
    options.drainAcceptTime =
            std::min(options.addressLifetime + kLastArrivals, options.drainLimit / 2);
    return options;
}

} // namespace chervilfield::daemon
