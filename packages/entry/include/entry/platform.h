#pragma once

#include "fleet/documents.h"
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

/// A caller's question for the addresses of entry instances.
struct AddressQuery
{
    std::string dataCentre; ///< Of the caller, empty if unknown.
};

/// What an entry instance needs to speak to a platform: formats and calls, without any decision.
struct Platform
{
    relay::Codec codec;
    fleet::DeploymentSchema schema;
    std::function<std::unique_ptr<fleet::Store>(boost::asio::any_io_executor, const net::Address &)>
            makeStore;
    std::function<std::unique_ptr<fleet::EngineControl>(boost::asio::any_io_executor)>
            makeEngineControl;
    std::string readyPath; ///< Where the platform asks whether the instance takes callers.
    /// Returns no value for a request that asks something else.
    std::function<std::optional<AddressQuery>(const net::Request &)> decodeAddressQuery;
    std::function<net::Response(const std::vector<net::Address> &, std::chrono::milliseconds)>
            encodeAddresses;
};

} // namespace chervilfield::entry
