#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>

namespace chervilfield::standins {

/// Command line of a stand-in: `--name value` pairs, and `--name` flags with the value "true".
/// Other arguments are ignored.
class Arguments
{
public:
    Arguments(int argc, char **argv);

    /// Returns the value of `--name`, or `defaultValue` if it is not given.
    std::string text(const std::string &name, const std::string &defaultValue) const;
    /// Returns the value of `--name` as a number, or `defaultValue` if it is not given. Throws if
    /// the value is not a number.
    double number(const std::string &name, double defaultValue) const;
    /// Returns whether `--name` is given.
    bool hasFlag(const std::string &name) const;

private:
    std::map<std::string, std::string> values_;
};

/// Serves `handler` on `--address` (default 127.0.0.1) and `--port` (default 0: the kernel
/// chooses), prints "listening <address>:<port>" and runs until SIGTERM or SIGINT. Returns the exit
/// status.
int serve(const Arguments &arguments, boost::asio::io_context &context, net::Handler handler);

} // namespace chervilfield::standins
