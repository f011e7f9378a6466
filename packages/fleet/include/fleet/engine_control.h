#pragma once

#include "fleet/configuration.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <system_error>

namespace chervilfield::fleet {

/// State of an engine, as of some hundred milliseconds ago.
struct EngineState
{
    bool isBusy = false;                          ///< An order is being carried out.
    std::uint64_t acceptedOrderCount = 0;         ///< Since the engine started.
    std::map<std::string, std::uint64_t> weights; ///< Version by model.
    std::uint32_t activeRequests = 0;
    std::uint32_t queuedRequests = 0;
};

/// Order to load weights. Requests in progress finish under the old ones first.
struct LoadOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string leaseHolder;        ///< Instance that gives orders now.
    std::uint64_t fencingToken = 0; ///< Grows with each change of holder.
    /// The order is refused if the engine has accepted others.
    std::uint64_t expectedOrderCount = 0;
};

enum class OrderOutcome {
    Accepted,    ///< It is being carried out.
    AlreadyDone, ///< The engine has these weights.
    Busy,        ///< Another order is in progress, or the count of orders differs.
    StaleFence,  ///< The engine has seen a higher fencing number.
    Rejected,    ///< The engine is another one, or does not know the order.
    Undecided,   ///< No answer; the order may still be carried out.
};

/// Calls to engines beside the requests of callers.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    virtual std::optional<EngineState> state(const Target &target, boost::asio::yield_context yield,
                                             std::error_code &error) = 0;
    virtual OrderOutcome load(const Target &target, const LoadOrder &order,
                              boost::asio::yield_context yield) = 0;
};

} // namespace chervilfield::fleet
