#include "traffic/metrics.h"

#include <prometheus/text_serializer.h>

namespace chervilfield::traffic {

namespace {

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry,
                                                       const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : requests_(counterFamily(registry_, "chervilfield_requests_total",
                              "Requests by kind and result.")),
      resumes_(counterFamily(registry_, "chervilfield_stream_resumes_total",
                             "Streams continued on another connection or engine, by reason.")),
      firstToken_(prometheus::BuildHistogram()
                          .Name("chervilfield_first_token_seconds")
                          .Help("Time from the request to the first token, by work class.")
                          .Register(registry_)),
      promptTokens_(counterFamily(registry_, "chervilfield_prompt_tokens_total",
                                  "Prompt tokens of finished requests.")
                            .Add({})),
      cachedTokens_(counterFamily(registry_, "chervilfield_cached_prompt_tokens_total",
                                  "Prompt tokens that engines had cached.")
                            .Add({})),
      tokens_(counterFamily(registry_, "chervilfield_generated_tokens_total",
                            "Tokens sent to callers.")
                      .Add({})),
      cacheEvents_(counterFamily(registry_, "chervilfield_cache_events_total",
                                 "Cache events read from followed engines.")
                           .Add({})),
      cacheGaps_(counterFamily(registry_, "chervilfield_cache_event_gaps_total",
                               "Reads of cache events in which events were missing.")
                         .Add({})),
      cacheResynchronisations_(
              counterFamily(registry_, "chervilfield_cache_resynchronisations_total",
                            "Cache snapshots applied, the first of each engine life included.")
                      .Add({})),
      openStreams_(prometheus::BuildGauge()
                           .Name("chervilfield_open_streams")
                           .Help("Streams that are being sent.")
                           .Register(registry_)
                           .Add({}))
{
}

void Metrics::countRequest(const std::string &kind, base::Result result)
{
    const std::string name(base::resultInfo(result).name);
    requests_.Add({ { "kind", kind }, { "result", name } }).Increment();
}

void Metrics::observeTimeToFirstToken(const std::string &workClass,
                                      std::chrono::duration<double> elapsed)
{
    static const prometheus::Histogram::BucketBoundaries kBucketBoundsSeconds{
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.75, 1.5, 3, 6, 12
    };
    firstToken_.Add({ { "class", workClass } }, kBucketBoundsSeconds).Observe(elapsed.count());
}

void Metrics::countPromptTokens(std::uint64_t promptTokens, std::uint64_t cachedTokens)
{
    promptTokens_.Increment(static_cast<double>(promptTokens));
    cachedTokens_.Increment(static_cast<double>(cachedTokens));
}

void Metrics::countResume(const std::string &reason)
{
    resumes_.Add({ { "reason", reason } }).Increment();
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace chervilfield::traffic
