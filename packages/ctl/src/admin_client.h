#pragma once

#include "ctl/options.h"
#include "net/http_message.h"

#include <boost/json/value.hpp>

#include <string>
#include <system_error>

namespace chervilfield::ctl {

/// Outcome of one request to the administration API.
struct AdminResponse
{
    ExitCode code = ExitCode::Ok;
    std::string text;        ///< The body of the response, or the error if there is none.
    boost::json::value body; ///< The parsed body; null if there is no JSON body.
};

/// Sends one request to `options.server` and returns the response. Blocks the calling thread for up
/// to `options.timeout`.
AdminResponse sendRequest(const Options &options, const net::Request &request);

} // namespace chervilfield::ctl
