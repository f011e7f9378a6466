// Load client. Sends requests over a number of concurrent streams to engines or daemons for a given
// time and prints one JSON object with the times to first token, the numbers of finished and failed
// requests and the duration.

#include "common/process.h"
#include "net/event_stream.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

namespace {

using namespace chervilfield;
using boost::asio::yield_context;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kRequestTimeout{ 30000 };

/// Command-line options.
struct LoadOptions
{
    std::vector<net::Address> targets; ///< The streams are distributed over them.
    bool direct = false;               ///< The targets are engines, not daemons.
    std::string apiKey;
    std::size_t streams = 1; ///< Number of concurrent streams over all threads.
    std::size_t tokens = 1;  ///< Tokens per answer.
    std::size_t promptBytes = 200;
    std::chrono::milliseconds duration{ 1000 };
    /// Mean of the random pause before each request. Without a pause, all streams start at the same
    /// time and wait for each other.
    std::chrono::microseconds pause{ 0 };
    std::uint64_t seed = 1;
};

/// Results of one thread.
struct Measurement
{
    std::vector<double> firstTokenMs;
    std::size_t finished = 0;
    std::size_t failed = 0;
};

/// Returns a completion request with a random prompt.
net::Request makeRequest(const LoadOptions &options, std::mt19937_64 &random)
{
    boost::json::object body{ { "prompt",
                                std::string(options.promptBytes, 'p') + std::to_string(random()) },
                              { "max_tokens", options.tokens },
                              { "stream", true } };
    if (options.direct)
        body["request_id"] = std::to_string(random());
    else
        body["model"] = "crest-1";
    net::Request request{ .method = "POST",
                          .target = "/v1/completions",
                          .headers = { { "Content-Type", "application/json" } },
                          .body = boost::json::serialize(body) };
    if (!options.direct)
        request.headers.push_back({ "Authorization", "Bearer " + options.apiKey });
    return request;
}

/// Sends one request and records its time to first token. Returns false if it failed.
bool sendRequest(const LoadOptions &options, const net::Address &target, net::HttpClient &client,
                 std::mt19937_64 &random, Measurement &measurement, const yield_context &yield)
{
    const net::Request request = makeRequest(options, random);
    const auto start = steady_clock::now();
    std::error_code error;
    auto stream = client.open(target, request, kRequestTimeout, yield, error);
    constexpr int kHttpOk = 200;
    if (stream == nullptr || stream->status() != kHttpOk) {
        std::cerr << "load_client: "
                  << (stream == nullptr ? error.message() : std::to_string(stream->status()))
                  << std::endl;
        return false;
    }
    std::string bytes;
    bool first = true;
    bool terminated = false;
    while (stream->read(bytes, kRequestTimeout, yield, error)) {
        if (first) {
            const std::chrono::duration<double, std::milli> elapsed = steady_clock::now() - start;
            measurement.firstTokenMs.push_back(elapsed.count());
            first = false;
        }
        terminated = terminated || bytes.find("[DONE]") != std::string::npos;
        // The end marker may be split over two reads, so the last bytes are kept.
        constexpr std::size_t kMaxTailBytes = 8;
        bytes.erase(0, bytes.size() - std::min(bytes.size(), kMaxTailBytes));
    }
    if (!terminated || error)
        std::cerr << "load_client: incomplete answer: " << error.message() << std::endl;
    return terminated && !error;
}

/// Waits for an exponentially distributed time, or not at all if the mean is zero.
void pauseRandomly(boost::asio::io_context &context, std::chrono::microseconds mean,
                   std::mt19937_64 &random, const yield_context &yield)
{
    if (mean.count() == 0)
        return;
    std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
    boost::asio::steady_timer timer(
            context, std::chrono::microseconds(static_cast<std::int64_t>(draw(random))));
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

/// Runs `streams` concurrent streams on the calling thread until the duration has passed.
Measurement runThread(const LoadOptions &options, std::size_t streams, std::uint64_t seed)
{
    boost::asio::io_context context;
    net::HttpClient client(context.get_executor(), { .maxIdleConnectionsPerAddress = streams });
    Measurement measurement;
    const auto end = steady_clock::now() + options.duration;
    for (std::size_t i = 0; i < streams; ++i) {
        net::spawnCoroutine(context, "[load]", [&, i](const yield_context &yield) {
            std::mt19937_64 random(seed * 1000003 + i);
            const net::Address &target = options.targets[i % options.targets.size()];
            while (steady_clock::now() < end) {
                pauseRandomly(context, options.pause, random, yield);
                if (sendRequest(options, target, client, random, measurement, yield))
                    ++measurement.finished;
                else
                    ++measurement.failed;
            }
        });
    }
    context.run();
    return measurement;
}

LoadOptions parseOptions(const standins::Arguments &arguments)
{
    LoadOptions options{ .direct = arguments.hasFlag("direct"),
                         .apiKey = arguments.text("api-key", "key") };
    std::string rest = arguments.text("targets", "");
    while (!rest.empty()) {
        const std::size_t comma = rest.find(',');
        if (const auto address = net::parseAddress(rest.substr(0, comma)))
            options.targets.push_back(*address);
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    options.streams = static_cast<std::size_t>(arguments.number("streams", 1));
    options.tokens = static_cast<std::size_t>(arguments.number("tokens", 1));
    options.promptBytes = static_cast<std::size_t>(arguments.number("prompt-bytes", 200));
    options.duration =
            milliseconds(static_cast<std::int64_t>(arguments.number("seconds", 1) * 1000));
    options.pause = std::chrono::microseconds(
            static_cast<std::int64_t>(arguments.number("pause-ms", 0) * 1000));
    options.seed = static_cast<std::uint64_t>(arguments.number("seed", 1));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const standins::Arguments arguments(argc, argv);
    const LoadOptions options = parseOptions(arguments);
    if (options.targets.empty()) {
        std::cerr << "load_client: --targets needs at least one address" << std::endl;
        return 2;
    }
    const auto threads = static_cast<std::size_t>(arguments.number("threads", 1));
    std::vector<Measurement> measurements(threads);
    std::vector<std::thread> workers;
    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&, i] {
            measurements[i] = runThread(options, options.streams / threads, options.seed * 64 + i);
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    const std::chrono::duration<double> elapsed = steady_clock::now() - start;
    boost::json::array samples;
    std::size_t finished = 0;
    std::size_t failed = 0;
    for (const Measurement &measurement : measurements) {
        samples.insert(samples.end(), measurement.firstTokenMs.begin(),
                       measurement.firstTokenMs.end());
        finished += measurement.finished;
        failed += measurement.failed;
    }
    std::cout << boost::json::serialize(boost::json::object{ { "finished", finished },
                                                             { "failed", failed },
                                                             { "seconds", elapsed.count() },
                                                             { "first_token_ms", samples } })
              << std::endl;
    return failed == 0 ? 0 : 1;
}
