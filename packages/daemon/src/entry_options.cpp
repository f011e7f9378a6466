#include "daemon/entry_options.h"

#include <algorithm>

namespace chervilfield::daemon {

using std::chrono::milliseconds;

namespace {

// Part of the platform's allowance for repeated sends that this system uses. Callers' own attempts
// and sends that cross a failure are counted by the platform as well.
constexpr double kOwnRetryShare = 0.6;
// Kept free before the process is killed, for the last bytes and the exit.
constexpr milliseconds kExitMargin{ 400 };
// Requests in progress have this long once no more connections are accepted.
constexpr milliseconds kFinishTime{ 1400 };
// Requests that callers sent just before they asked for addresses again arrive within this time.
constexpr milliseconds kLateArrivalTime{ 500 };

} // namespace

entry::EntryOptions entryOptions(const Settings &settings)
{
    const EntrySettings &entry = *settings.entry;
    entry::EntryOptions options{ .instance = settings.instanceName,
                                 .dataCentre = settings.dataCentre,
                                 .callers = settings.callers,
                                 .ready = entry.ready,
                                 .directory = entry.directory,
                                 .peers = settings.peers,
                                 .metrics = entry.metrics,
                                 .store = settings.platform,
                                 .seeds = settings.seeds,
                                 .protocolPeriod = settings.protocolPeriod,
                                 .leaseDuration = entry.leaseDuration,
                                 .enginesCheckFences = entry.enginesCheckFences,
                                 .staleWeightsLimit = entry.staleWeightsLimit,
                                 .targetDrainTime = entry.targetDrainTime,
                                 .retryRatio = entry.retryRatio * kOwnRetryShare,
                                 .retryBurst = entry.retryBurst * kOwnRetryShare,
                                 .retryWindow = entry.retryWindow };
    options.addressLifetime = std::min(settings.entriesTtl, entry.maxAddressLifetime);
    options.drainLimit = entry.gracePeriod - kExitMargin;
    options.drainListenTime = options.drainLimit - kFinishTime;
    options.drainAcceptTime =
            std::min(options.addressLifetime + kLateArrivalTime, options.drainLimit / 2);
    return options;
}

} // namespace chervilfield::daemon
