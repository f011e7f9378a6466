#pragma once

#include "peers/udp_transport.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>

namespace chervilfield::daemon {

/// Values that the control plane reports as metrics. Byte and request counts run from the start of
/// the process; the others are current values.
struct ControlCounts
{
    peers::TransportCounters peers;
    std::uint64_t platformRequests = 0; ///< Requests sent to the platform's services.
    std::uint64_t revision = 0;         ///< Configuration revision in force.
    std::size_t members = 0;            ///< Members in the table, including this instance.
};

/// Prometheus metrics of the control plane. Not thread-safe: one thread calls `update()`.
class ControlMetrics
{
public:
    /// Registers the metrics in `registry`, which must outlive this object.
    explicit ControlMetrics(prometheus::Registry &registry);

    /// Sets the metrics to `counts`. No byte or request count may be lower than in the previous
    /// call.
    void update(const ControlCounts &counts);

private:
    prometheus::Family<prometheus::Counter> &bytes_;
    prometheus::Counter &sentBytes_;
    prometheus::Counter &receivedBytes_;
    prometheus::Counter &platformRequests_;
    prometheus::Gauge &revision_;
    prometheus::Gauge &members_;
    ControlCounts last_; ///< Argument of the previous `update()`.
};

} // namespace chervilfield::daemon
