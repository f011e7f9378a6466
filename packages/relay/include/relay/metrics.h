#pragma once

#include "base/result.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <string>

namespace chervilfield::relay {

/// Counters and latency histograms of forwarded requests. Labels hold pools and result names only,
/// so the number of series stays small.
class Metrics
{
public:
    Metrics();

    void countAnswer(base::Result result);
    void countSend(const std::string &pool, base::Result result);
    void observeTimeToFirstEvent(const std::string &pool, std::chrono::duration<double> elapsed);
    void observeAnswerTime(const std::string &pool, std::chrono::duration<double> elapsed);
    void countResume() { resumes_.Increment(); }
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
};

} // namespace chervilfield::relay
