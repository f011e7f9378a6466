#include "common/process.h"

#include <boost/asio/signal_set.hpp>

#include <iostream>

namespace chervilfield::standins {

Arguments::Arguments(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string name = argv[i];
        if (!name.starts_with("--"))
            continue;
        const bool hasValue = i + 1 < argc && !std::string(argv[i + 1]).starts_with("--");
        values_[name.substr(2)] = hasValue ? argv[++i] : "true";
    }
}

std::string Arguments::text(const std::string &name, const std::string &defaultValue) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? defaultValue : found->second;
}

double Arguments::number(const std::string &name, double defaultValue) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? defaultValue : std::stod(found->second);
}

bool Arguments::hasFlag(const std::string &name) const
{
    return values_.contains(name);
}

int serve(const Arguments &arguments, boost::asio::io_context &context, net::Handler handler)
{
    net::HttpServer server({ { &context, std::move(handler) } }, { .maxBodyBytes = 64U << 20U });
    std::error_code error;
    const auto port = static_cast<std::uint16_t>(arguments.number("port", 0));
    server.listen({ arguments.text("address", "127.0.0.1"), port }, error);
    if (error) {
        std::cerr << "cannot listen: " << error.message() << std::endl;
        return 1;
    }
    std::cout << "listening " << toString(server.localAddress()) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    context.run();
    return 0;
}

} // namespace chervilfield::standins
