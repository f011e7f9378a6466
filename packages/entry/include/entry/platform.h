#pragma once

#include "fleet/deployment_schema.h"
#include "fleet/engine_control.h"
#include "fleet/store.h"
#include "net/address.h"
#include "net/http_message.h"
#include "relay/codec.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::entry {

/// A caller's query for the addresses of entry instances.
struct AddressQuery
{
    std::string dataCentre; ///< Data centre of the caller, empty if unknown.
};

/// Formats and calls of the platform that an entry instance runs on. They make no decisions.
struct Platform
{
    relay::Codec codec;
    fleet::DeploymentSchema schema;
    /// Returns a client of the store at the address, whose I/O runs on the executor.
    std::function<std::unique_ptr<fleet::Store>(boost::asio::any_io_executor, const net::Address &)>
            makeStore;
    /// Returns a client of the engines, whose I/O runs on the executor.
    std::function<std::unique_ptr<fleet::EngineControl>(boost::asio::any_io_executor)>
            makeEngineControl;
    std::string readyPath; ///< Path of the readiness check of the platform.
    /// Returns no value if the request is not a query for addresses.
    std::function<std::optional<AddressQuery>(const net::Request &)> decodeAddressQuery;
    /// Returns the response with the addresses and the time for which the caller may use them.
    std::function<net::Response(const std::vector<net::Address> &, std::chrono::milliseconds)>
            encodeAddresses;
};

} // namespace chervilfield::entry
