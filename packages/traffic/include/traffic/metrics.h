#pragma once

#include "base/result.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace chervilfield::traffic {

/// Counters, gauges and latency histograms of the traffic path. Labels hold no data of customers,
/// so the number of time series stays small and no customer sees data of another.
class Metrics
{
public:
    Metrics();

    /// Counts a request by its kind (`completion`, `call`, `order` or `request`) and its result.
    void countRequest(const std::string &kind, base::Result result);
    /// Records the time from a request to its first token; `workClass` is `short` or `long`.
    void observeTimeToFirstToken(const std::string &workClass,
                                 std::chrono::duration<double> elapsed);
    /// Counts the prompt tokens of a finished request and how many of them the engine had cached.
    void countPromptTokens(std::uint64_t promptTokens, std::uint64_t cachedTokens);
    void countGeneratedTokens(std::uint64_t tokens)
    {
        tokens_.Increment(static_cast<double>(tokens));
    }
    /// Counts a stream that continues on another connection or engine.
    void countResume(const std::string &reason);
    void countCacheEvents(std::uint64_t events)
    {
        cacheEvents_.Increment(static_cast<double>(events));
    }
    void countCacheEventGap() { cacheGaps_.Increment(); }
    void countCacheResynchronisation() { cacheResynchronisations_.Increment(); }
    void streamOpened() { openStreams_.Increment(); }
    void streamClosed() { openStreams_.Decrement(); }

    /// Returns the registry, to which other components add their metrics. It is owned by this
    /// object.
    prometheus::Registry &registry() { return registry_; }

    /// Returns all metrics in the Prometheus text format.
    std::string exposition() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &resumes_;
    prometheus::Family<prometheus::Histogram> &firstToken_;
    prometheus::Counter &promptTokens_;
    prometheus::Counter &cachedTokens_;
    prometheus::Counter &tokens_;
    prometheus::Counter &cacheEvents_;
    prometheus::Counter &cacheGaps_;
    prometheus::Counter &cacheResynchronisations_;
    prometheus::Gauge &openStreams_;
};

} // namespace chervilfield::traffic
