#include "daemon/control_metrics.h"

namespace chervilfield::daemon {

namespace {

void incrementByDifference(prometheus::Counter &counter, std::uint64_t from, std::uint64_t to)
{
    counter.Increment(static_cast<double>(to - from));
}

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

ControlMetrics::ControlMetrics(prometheus::Registry &registry)
    : bytes_(prometheus::BuildCounter()
                     .Name("chervilfield_peer_udp_bytes_total")
                     .Help("Bytes of datagrams between daemons, without IP and UDP headers.")
                     .Register(registry)),
      sentBytes_(bytes_.Add({ { "direction", "sent" } })),
      receivedBytes_(bytes_.Add({ { "direction", "received" } })),
      platformRequests_(prometheus::BuildCounter()
                                .Name("chervilfield_platform_requests_total")
                                .Help("Control requests to the platform's services.")
                                .Register(registry)
                                .Add({})),
      revision_(addGauge(registry, "chervilfield_configuration_revision",
                         "Configuration revision in force.")),
      members_(addGauge(registry, "chervilfield_members",
                        "Daemons in the member table, with this one."))
{
}

void ControlMetrics::update(const ControlCounts &counts)
{
    incrementByDifference(sentBytes_, last_.peers.sentBytes, counts.peers.sentBytes);
    incrementByDifference(receivedBytes_, last_.peers.receivedBytes, counts.peers.receivedBytes);
    incrementByDifference(platformRequests_, last_.platformRequests, counts.platformRequests);
    revision_.Set(static_cast<double>(counts.revision));
    members_.Set(static_cast<double>(counts.members));
    last_ = counts;
}

} // namespace chervilfield::daemon
