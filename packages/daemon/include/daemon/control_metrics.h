#pragma once

#include "peers/udp_transport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>

namespace chervilfield::daemon {

/// What the control part of a daemon reports about itself, counted since its start.
struct ControlCounts
{
    peers::TransportCounters peers;
    std::uint64_t platformRequests = 0;
    std::uint64_t revision = 0;
    std::size_t members = 0;
};

/// Metrics of the control part. `update()` is called periodically by one thread.
class ControlMetrics
{
public:
    /// `registry` outlives the object.
    explicit ControlMetrics(prometheus::Registry &registry);

    void update(const ControlCounts &counts);

private:
    prometheus::Family<prometheus::Counter> &bytes_;
    prometheus::Counter &sentBytes_;
    prometheus::Counter &receivedBytes_;
    prometheus::Counter &platformRequests_;
    prometheus::Gauge &revision_;
    prometheus::Gauge &members_;
    ControlCounts last_;
};

} // namespace chervilfield::daemon
