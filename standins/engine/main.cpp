#include "common/process.h"
#include "engine/engine.h"

int main(int argc, char **argv)
{
    using namespace chervilfield::standins;
    const Arguments arguments(argc, argv);
    boost::asio::io_context context;
    Engine engine(
            context,
            { .name = arguments.text("name", "engine"),
              .weights = arguments.text("weights", "v1"),
              .maxCachedBlocks = static_cast<std::size_t>(arguments.number("cache-blocks", 256)),
              .prefillTokensPerSecond = arguments.number("prefill-tokens-per-second", 200000),
              .tokenInterval = std::chrono::microseconds(
                      static_cast<std::int64_t>(arguments.number("token-interval-us", 2000))),
              .batchSlots = static_cast<std::size_t>(arguments.number("slots", 64)),
              .checksFencing = !arguments.hasFlag("ignores-fencing"),
              .roundTripDelay = std::chrono::milliseconds(
                      static_cast<std::int64_t>(arguments.number("path-delay-ms", 0))) });
    return serve(arguments, context,
                 [&engine](auto &exchange, const auto &yield) { engine.handle(exchange, yield); });
}
