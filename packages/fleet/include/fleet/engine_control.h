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

/// State of an engine. May be some hundred milliseconds old.
struct EngineState
{
    bool isBusy = false;                          ///< True while an order is being executed.
    std::uint64_t acceptedOrderCount = 0;         ///< Orders accepted since the engine started.
    std::map<std::string, std::uint64_t> weights; ///< Version by model.
    std::uint32_t activeRequests = 0;
    std::uint32_t queuedRequests = 0;
};

/// Order to load weights. The engine first finishes the requests in progress with the old weights.
struct LoadOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string leaseHolder;        ///< Instance that holds the lease for sending orders.
    std::uint64_t fencingToken = 0; ///< Increases whenever the lease holder changes.
    /// Value of `EngineState::acceptedOrderCount` that the order is based on. The engine refuses
    /// the order if it has accepted others since.
    std::uint64_t expectedOrderCount = 0;
};

/// Answer of an engine to an order.
enum class OrderOutcome {
    Accepted,    ///< The engine executes the order.
    AlreadyDone, ///< The engine already has these weights.
    Busy,        ///< Another order is in progress, or the order count differs.
    StaleFence,  ///< The engine has seen a higher fencing token.
    Rejected,    ///< The engine was unreachable, is another one, or does not know the order.
    Undecided,   ///< No answer; the order may still be executed.
};

/// Control calls to engines, apart from the requests of callers.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Returns the state of the engine, or no value and sets `error`.
    virtual std::optional<EngineState> state(const Target &target, boost::asio::yield_context yield,
                                             std::error_code &error) = 0;
    /// Sends an order to load weights and returns the answer of the engine. Does not wait until the
    /// weights are loaded.
    virtual OrderOutcome load(const Target &target, const LoadOrder &order,
                              boost::asio::yield_context yield) = 0;
};

} // namespace chervilfield::fleet
