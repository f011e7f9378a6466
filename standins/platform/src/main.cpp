#include "platform_standin/platform_service.h"

#include <boost/asio/signal_set.hpp>
#include <getopt.h>

#include <csignal>
#include <iostream>
#include <string>

namespace {

using namespace chervilfield;

constexpr int kUsageError = 2;

/// Reads `--address` and `--port`. Returns false on an unknown or malformed option.
bool parseArguments(int argc, char **argv, net::Address &address)
{
    const option options[] = { { "address", required_argument, nullptr, 'a' },
                               { "port", required_argument, nullptr, 'p' },
                               { nullptr, 0, nullptr, 0 } };
    std::string host = "127.0.0.1";
    std::string port = "0";
    for (int key = 0; (key = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (key == 'a')
            host = optarg;
        else if (key == 'p')
            port = optarg;
        else
            return false;
    }
    const auto parsed = net::parseAddress(host + ":" + port);
    address = parsed.value_or(net::Address());
    return parsed.has_value();
}

} // namespace

// Serves the stand-in platform until SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    net::Address address;
    if (!parseArguments(argc, argv, address)) {
        std::cerr << "usage: platform-standin [--address A.B.C.D] [--port N]\n";
        return kUsageError;
    }
    boost::asio::io_context context;
    standins::PlatformService service(context);
    const auto handler = [&](net::Exchange &exchange, boost::asio::yield_context yield) {
        service.handle(exchange, yield);
    };
    net::HttpServer server({ { &context, handler } }, {});
    std::error_code error;
    server.listen(address, error);
    if (error) {
        std::cerr << "[platform] cannot listen on " << toString(address) << ": " << error.message()
                  << '\n';
        return 1;
    }
    std::cout << "listening " << toString(server.localAddress()) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    return 0;
}
