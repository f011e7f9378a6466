#pragma once

#include "net/address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::entry {

/// Options of an entry instance.
struct EntryOptions
{
    std::string instance;
    std::string dataCentre;
    net::Address callerAddress;    ///< Address for callers' requests.
    net::Address readinessAddress; ///< Address for the readiness check of the platform.
    net::Address directoryAddress; ///< Address for callers' queries for instance addresses.
    net::Address peerAddress;      ///< Address for other instances, TCP and UDP.
    net::Address metricsAddress;   ///< Address for reads of the metrics.
    net::Address storeAddress;     ///< Address of the platform's store.
    double memoryMb = 0;           ///< Memory of this instance in MiB; 0 if unknown.
    /// Memory for the requests of all callers while they are read and answered.
    std::size_t requestMemoryBytes = 96U << 20U;
    /// Bandwidth of this instance's network link in Mbit/s; 0 if unknown.
    std::uint32_t linkMbps = 0;
    std::vector<net::Address> seeds; ///< Peer addresses through which this instance joins.

    /// Time for which callers may use a list of addresses.
    std::chrono::milliseconds addressLifetime{ 2000 };
    /// Time after the signal for which all requests are accepted. Callers that drop a list of
    /// addresses after its lifetime have left by then. Later, only requests that end before the
    /// exit are accepted.
    std::chrono::milliseconds drainAcceptTime{ 2500 };
    /// Time after the signal for which new connections are accepted. It is this long because some
    /// callers use a list of addresses for three times its lifetime.
    std::chrono::milliseconds drainListenTime{ 6200 };
    std::chrono::milliseconds drainLimit{ 7600 }; ///< Maximum time from the signal to the exit.

    std::chrono::milliseconds protocolPeriod{ 500 }; ///< Period of the membership protocol.
    std::chrono::milliseconds leaseDuration{ 3000 }; ///< Duration of the weight rollout lease.
    bool enginesCheckFences = false; ///< Whether engines refuse an old fencing token.
    bool learnsPerformance = false;  ///< Whether the performance of targets is learned.
    /// Time after the operator sets a new weight version from which no request may start on an
    /// older one.
    std::chrono::milliseconds staleWeightsLimit{ 10'000 };
    /// Time after the start of an instance within which the platform does not apply its limits.
    std::chrono::milliseconds settleTime{ 3000 };
    /// Time for which a target that has deregistered still accepts requests.
    std::chrono::milliseconds targetDrainTime{ 2000 };
    double retryRatio = 0.1; ///< Retries allowed per request.
    /// Retries of all instances together that are allowed in each `retryWindow` in addition.
    double retryBurst = 10;
    std::chrono::milliseconds retryWindow{ 10'000 }; ///< Period of `retryBurst`.
};

} // namespace chervilfield::entry
