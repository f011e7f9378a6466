#pragma once

#include "base/result.h"
#include "usage/usage_limiter.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace chervilfield::relay {

/// Counters and latency histograms of forwarded requests. Labels hold only pools and result names,
/// so the number of time series stays small.
class Metrics
{
public:
    Metrics();

    /// Counts a caller's request that ended with `result`.
    void countAnswer(base::Result result);
    /// Counts one attempt to send a request to a target of `pool`.
    void countSend(const std::string &pool, base::Result result);
    /// Records the time from the arrival of a request to the first event of its stream.
    void observeTimeToFirstEvent(const std::string &pool, std::chrono::duration<double> elapsed);
    /// Records the time from the arrival of a request to its end. `pool` is empty if the request
    /// was refused before a pool was chosen.
    void observeAnswerTime(const std::string &pool, std::chrono::duration<double> elapsed);
    /// Counts a stream that continues at another target.
    void countResume() { resumes_.Increment(); }
    void setQuarantinedParts(std::size_t count)
    {
        quarantinedParts_.Set(static_cast<double>(count));
    }
    /// Shows the decisions on usage limits so far.
    void setUsage(const usage::UsageCounters &counters);
    void requestStarted() { openRequests_.Increment(); }
    void requestEnded() { openRequests_.Decrement(); }

    prometheus::Registry &registry() { return registry_; }

    /// Returns all metrics in the Prometheus text format.
    std::string exposition() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &answers_;
    prometheus::Family<prometheus::Counter> &sends_;
    prometheus::Family<prometheus::Histogram> &timeToFirstEvent_;
    prometheus::Family<prometheus::Histogram> &answerTime_;
    prometheus::Counter &resumes_;
    prometheus::Gauge &openRequests_;
    prometheus::Gauge &quarantinedParts_;
    prometheus::Family<prometheus::Gauge> &usageDecisions_;
};

} // namespace chervilfield::relay
