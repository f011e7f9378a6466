#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace chervilfield::standins {

/// Command line of a stand-in: `--name value` pairs and `--name` flags, whose value is "true".
class Arguments
{
public:
    Arguments(int argc, char **argv);

    std::string text(const std::string &name, const std::string &fallback) const;
    double number(const std::string &name, double fallback) const;
    bool hasFlag(const std::string &name) const;

private:
    std::map<std::string, std::string> values_;
};

/// Serves `handler` on `--address` (127.0.0.1) and `--port` (0, the kernel chooses), prints
/// "listening <address>:<port>" and runs until SIGTERM or SIGINT. Returns the exit status.
int serve(const Arguments &arguments, boost::asio::io_context &context, net::Handler handler);

} // namespace chervilfield::standins
