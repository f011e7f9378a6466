#pragma once

#include "net/address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::entry {

/// Settings of an entry instance.
struct EntryOptions
{
    std::string instance;
    std::string dataCentre;
    net::Address callers;   ///< For callers' requests.
    net::Address ready;     ///< For the platform's question whether this instance takes callers.
    net::Address directory; ///< For callers' question which instance to use.
    net::Address peers;     ///< For other instances, TCP and UDP.
    net::Address metrics;
    net::Address store;
    std::vector<net::Address> seeds; ///< Peer addresses to join through.

    std::chrono::milliseconds addressLifetime{ 2000 }; ///< For which callers may keep an answer.
    /// From the signal to the moment after which only requests are taken that end before the exit:
    /// callers that keep an answer for its lifetime have left.
    std::chrono::milliseconds drainAcceptTime{ 2500 };
    /// From the signal to the moment at which no more connections are accepted. Some callers keep
    /// an answer for three times its lifetime.
    std::chrono::milliseconds drainListenTime{ 6200 };
    std::chrono::milliseconds drainLimit{ 7600 }; ///< From the signal to the exit.

    std::chrono::milliseconds protocolPeriod{ 500 }; ///< Of the membership protocol.
    std::chrono::milliseconds leaseDuration{ 3000 }; ///< Of the right to give orders to engines.
    bool enginesCheckFences = false; ///< Whether engines refuse an old fencing number.
    /// From the naming of weights to the moment at which no request may begin on older ones.
    std::chrono::milliseconds staleWeightsLimit{ 10'000 };
    /// For which a target that leaves still takes work.
    std::chrono::milliseconds targetDrainTime{ 2000 };
    /// Requests that may be sent once more, per request and in addition over the whole deployment.
    double retryRatio = 0.1;
    double retryBurst = 10;
    std::chrono::milliseconds retryWindow{ 10'000 };
};

} // namespace chervilfield::entry
