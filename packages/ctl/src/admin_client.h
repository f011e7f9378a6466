#pragma once

#include "ctl/options.h"
#include "net/http_message.h"

#include <boost/json/value.hpp>

#include <string>
#include <system_error>

namespace chervilfield::ctl {

/// Response of the administration API.
struct Answer
{
    ExitCode code = ExitCode::Ok;
    std::string text;        ///< The body, or a description of the error without a response.
    boost::json::value body; ///< Null if there is no JSON body.
};

/// Sends one request and waits for the response. Blocks the calling thread.
Answer call(const Options &options, const net::Request &request);

} // namespace chervilfield::ctl
