#include "relay/metrics.h"

#include <prometheus/text_serializer.h>

namespace chervilfield::relay {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Upper bounds in seconds. Most lie around the usual latency goals of 0.1 to 1.2 s.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{ 0.01, 0.02, 0.05, 0.1, 0.2, 0.3,
                                                               0.5,  0.8,  1.2,  2,   4,   8 };

} // namespace

Metrics::Metrics()
    : answers_(BuildCounter()
                       .Name("chervilfield_relay_answers_total")
                       .Help("Requests of callers by result.")
                       .Register(registry_)),
      sends_(BuildCounter()
                     .Name("chervilfield_relay_sends_total")
                     .Help("Attempts at targets by pool and result.")
                     .Register(registry_)),
      timeToFirstEvent_(BuildHistogram()
                                .Name("chervilfield_relay_first_event_seconds")
                                .Help("Time to the first event of a stream.")
                                .Register(registry_)),
      answerTime_(BuildHistogram()
                          .Name("chervilfield_relay_answer_seconds")
                          .Help("Time to the end of an answer.")
                          .Register(registry_)),
      resumes_(BuildCounter()
                       .Name("chervilfield_relay_resumes_total")
                       .Help("Streams that were continued at another target.")
                       .Register(registry_)
                       .Add({})),
      openRequests_(BuildGauge()
                            .Name("chervilfield_relay_open_requests")
                            .Help("Requests without a complete answer.")
                            .Register(registry_)
                            .Add({})),
      quarantinedParts_(BuildGauge()
                                .Name("chervilfield_relay_quarantined_parts")
                                .Help("Prompt parts whose requests are refused.")
                                .Register(registry_)
                                .Add({})),
      usageDecisions_(BuildGauge()
                              .Name("chervilfield_usage_decisions")
                              .Help("Decisions on requests of customers with a usage limit.")
                              .Register(registry_))
{
}

void Metrics::countAnswer(base::Result result)
{
    answers_.Add({ { "result", std::string(base::resultInfo(result).name) } }).Increment();
}

void Metrics::countSend(const std::string &pool, base::Result result)
{
    sends_.Add({ { "pool", pool }, { "result", std::string(base::resultInfo(result).name) } })
            .Increment();
}

void Metrics::observeTimeToFirstEvent(const std::string &pool,
                                      std::chrono::duration<double> elapsed)
{
    timeToFirstEvent_.Add({ { "pool", pool } }, kLatencyBuckets).Observe(elapsed.count());
}

void Metrics::observeAnswerTime(const std::string &pool, std::chrono::duration<double> elapsed)
{
    answerTime_.Add({ { "pool", pool } }, kLatencyBuckets).Observe(elapsed.count());
}

void Metrics::setUsage(const usage::UsageCounters &counters)
{
    // A deployment without usage limits has no such time series.
    if (counters.admitted + counters.refused == 0)
        return;
    const auto set = [this](const char *decision, std::uint64_t count) {
        usageDecisions_.Add({ { "decision", decision } }).Set(static_cast<double>(count));
    };
    set("admitted", counters.admitted);
    set("admitted-locally", counters.admittedLocally);
    set("refused", counters.refused);
    set("refused-locally", counters.refusedLocally);
    set("refunded", counters.refunded);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace chervilfield::relay
