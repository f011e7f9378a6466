#pragma once

#include "fake_targets.h"
#include "relay/relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::relay {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::optional<std::string> decodeKey(const net::Headers &headers)
{
    const auto key = net::findHeader(headers, "Key");
    return key ? std::optional<std::string>(*key) : std::nullopt;
}

inline Codec testCodec()
{
    const auto field = [](const net::Headers &headers, std::string_view name) {
        return std::string(net::findHeader(headers, name).value_or(""));
    };
    return { .decodeRequest =
                     [field](const net::Request &request) {
                         return CallerFields{ .requestId = field(request.headers, "Id"),
                                              .timeout = milliseconds(1500),
                                              .apiKey = decodeKey(request.headers),
                                              .model = field(request.headers, "Model"),
                                              .promptTokens = 100,
                                              .promptParts =
                                                      testParts(field(request.headers, "Parts")) };
                     },
             .encodeTargetHeaders =
                     [](const net::Request &request, const ForwardFields &fields) {
                         net::Headers headers = request.headers;
                         headers.push_back({ "Customer", fields.customer });
                         if (!fields.lastEventId.empty())
                             headers.push_back({ "Last-Event-Id", fields.lastEventId });
                         return headers;
                     },
             .decodeResponse =
                     [field](const net::Headers &headers) {
                         return ResponseFields{ .requestId = field(headers, "Id"),
                                                .isNotRun = !field(headers, "Not-Run").empty(),
                                                .isSigned = !field(headers, "Signed").empty() };
                     },
             .encodeCallerHeaders =
                     [](const net::Headers &headers) {
                         net::Headers kept;
                         for (const net::Header &header : headers) {
                             if (header.name == "Id" || header.name == "Content-Type")
                                 kept.push_back(header);
                         }
                         return kept;
                     },
             .encodeFailure =
                     [](const Failure &failure) {
                         return net::Response{
                             .status = failure.work == base::WorkStatus::NotRun ? 503 : 502,
                             .body = std::string(base::resultInfo(failure.code).name)
                         };
                     } };
}

// Timeout of a request and an allowance for a busy machine.
constexpr milliseconds kMaxTime{ 2000 };

// Response that a caller receives, and the number of requests that reached each target.
struct Outcome
{
    int status = 0;
    std::string body;
    bool isComplete = false;
    std::vector<std::size_t> sends;
    // Set only if a target is a `RawTarget`.
    std::size_t rawConnections = 0;
    std::size_t rawOpenConnections = 0; ///< Left open after the response.
    std::size_t rawBytes = 0;
    bool hasFault = false;        ///< Whether a fault of the first target was recorded.
    milliseconds maxStall{ 0 };   ///< Longest work between two turns of a timer.
    std::size_t maxHeapBytes = 0; ///< Growth of the allocated memory of the process.
};

// Change of the view after the first target has received a request.
enum class ViewChange {
    None,
    OthersLeave,     ///< All targets but the first leave.
    WeightsReplaced, ///< Newer weights have been desired for too long to begin on the present ones.
};

struct Scenario
{
    std::string name;
    fleet::RequestKind kind = fleet::RequestKind::Idempotent;
    std::vector<Behaviour> targets;
    std::uint32_t maxTargets = 2;
    bool isResumable = false;
    std::string key = "good";
    /// Time until this instance accepts only requests that end before its exit.
    milliseconds acceptFor{ 0 };
    /// Time until this instance exits; 0 if it does not shut down.
    milliseconds exitIn{ 0 };
    ViewChange change = ViewChange::None;
    admission::RetryBudgetOptions retryBudget = admission::kRetryBudget;
    /// Replaces the behaviour of the target with the index `rawIndex`.
    std::optional<RawResponse> raw{};
    std::size_t rawIndex = 0;
    /// Starts a target that replaces the first one, and returns its address. May be empty.
    std::function<net::Address(asio::io_context &)> startFirstTarget{};
    milliseconds pause{ 0 }; ///< Time between two requests.
    bool haveRequestsIds = true;
    bool readsRawBytes = false;       ///< The body of the outcome is all that the caller receives.
    std::size_t parallelRequests = 1; ///< Copies of the first request, sent at once.
    std::size_t responseMemoryBytes = RelayOptions{}.responseMemoryBytes;
};

inline fleet::ViewPtr makeView(const Scenario &scenario, const std::vector<net::Address> &targets,
                               ViewChange change)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->version = 1;
    configuration->routes = { { .name = "r",
                                .host = "h",
                                .prefix = "/",
                                .kind = scenario.kind,
                                .pools = { { "p", 1 } },
                                .timeout = milliseconds(1500),
                                .latencyGoal = milliseconds(300),
                                .maxTargets = scenario.maxTargets,
                                .isResumable = scenario.isResumable } };
    configuration->pools = { { .name = "p" } };
    configuration->customers = { { .name = "c", .keys = { "good" } } };
    std::vector<fleet::Target> entries;
    const std::size_t count = change == ViewChange::OthersLeave ? 1 : targets.size();
    for (std::size_t i = 0; i < count; ++i) {
        // The first target is the only one in the local data centre, so it is tried first.
        entries.push_back({ .id = "t" + std::to_string(i),
                            .pool = "p",
                            .address = targets[i],
                            .dataCentre = i == 0 ? "near" : "far",
                            .weights = { { "m", 1 } } });
    }
    fleet::WeightsHistory history;
    if (change == ViewChange::WeightsReplaced)
        history["m"] = { { .version = 2, .setAfter = base::BootClock::now() - seconds(60) } };
    return std::make_shared<const fleet::View>(configuration, entries, history, 1);
}

inline DeploymentState deploymentState(const Scenario &scenario, const fleet::ViewPtr &view)
{
    DeploymentState result{ .view = view, .isFresh = true };
    const auto now = base::BootClock::now();
    if (scenario.exitIn > milliseconds(0))
        result.drainSchedule = { .acceptUntil = now + scenario.acceptFor,
                                 .exitAt = now + scenario.exitIn };
    return result;
}

// Context that destroys suspended coroutines while the objects that they use still exist.
class TestContext : public asio::io_context
{
public:
    using execution_context::shutdown;
};

inline net::Request callerRequest(const Scenario &scenario, const std::string &id,
                                  const std::string &parts)
{
    net::Request request{ .method = "POST",
                          .target = "/x",
                          .headers = { { "Host", "h" }, { "Id", id }, { "Parts", parts } },
                          .body = "question",
                          .idempotent = false };
    if (!scenario.key.empty())
        request.headers.push_back({ "Key", scenario.key });
    if (scenario.change == ViewChange::WeightsReplaced)
        request.headers.push_back({ "Model", "m" });
    return request;
}

// Sends the request and reads the response to its end.
inline void call(net::HttpClient &client, const net::Address &address, const net::Request &request,
                 Outcome &outcome, asio::yield_context yield)
{
    std::error_code error;
    const auto stream = client.open(address, request, seconds(5), yield, error);
    if (stream == nullptr)
        return;
    outcome.status = stream->status();
    while (stream->read(outcome.body, seconds(5), yield, error)) {
    }
    outcome.isComplete = !error;
}

// Sends the request and reads all bytes until the connection is closed.
inline void callRaw(const net::Address &address, const net::Request &request, Outcome &outcome,
                    asio::yield_context yield)
{
    std::string bytes = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const net::Header &header : request.headers)
        bytes += header.name + ": " + header.value + "\r\n";
    bytes += "Connection: close\r\nContent-Length: " + std::to_string(request.body.size())
             + "\r\n\r\n" + request.body;
    asio::ip::tcp::socket socket(yield.get_executor());
    boost::system::error_code error;
    socket.async_connect({ asio::ip::make_address(address.host), address.port }, yield[error]);
    asio::async_write(socket, asio::buffer(bytes), yield[error]);
    asio::async_read(socket, asio::dynamic_buffer(outcome.body), yield[error]);
}

inline std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Records the longest work that keeps a timer from its turn, in CPU time: the process has one
// thread, and other processes do not count. Records the growth of the memory, too.
inline void recordUsage(milliseconds &maxStall, std::size_t &maxHeapBytes,
                        asio::yield_context yield)
{
    asio::steady_timer timer(yield.get_executor());
    const std::size_t bytesBefore = allocatedBytes();
    while (true) {
        const std::clock_t start = std::clock();
        timer.expires_after(milliseconds(5));
        timer.async_wait(yield);
        const milliseconds busy((std::clock() - start) * 1000 / CLOCKS_PER_SEC);
        maxStall = std::max(maxStall, busy);
        maxHeapBytes =
                std::max(maxHeapBytes, allocatedBytes() - std::min(allocatedBytes(), bytesBefore));
    }
}

// Records the state of the target once its connections have ended, at the latest at `limit`.
inline void recordRawTarget(const RawTarget &target, std::chrono::steady_clock::time_point limit,
                            Outcome &outcome, asio::yield_context yield)
{
    asio::steady_timer timer(yield.get_executor());
    while (target.closed < target.connections && std::chrono::steady_clock::now() < limit) {
        timer.expires_after(milliseconds(5));
        timer.async_wait(yield);
    }
    outcome.rawConnections = target.connections;
    outcome.rawOpenConnections = target.connections - target.closed;
    outcome.rawBytes = target.bytesSent;
}

// Sends a request for each entry of `prompts` to the relay at `address` and appends its outcome.
inline void sendPrompts(const Scenario &scenario, const std::vector<std::string> &prompts,
                        const net::Address &address,
                        const std::vector<std::unique_ptr<FakeTarget>> &targets,
                        std::vector<Outcome> &outcomes, asio::yield_context yield)
{
    net::HttpClient caller(yield.get_executor(), {});
    asio::steady_timer timer(yield.get_executor());
    for (const std::string &parts : prompts) {
        Outcome &outcome = outcomes.emplace_back();
        // Raw targets answer with the id of the first request.
        const std::string number = outcomes.size() == 1 ? "" : std::to_string(outcomes.size());
        const std::string id = scenario.haveRequestsIds ? "own" + number : "";
        timer.expires_after(scenario.pause);
        if (outcomes.size() > 1)
            timer.async_wait(yield);
        const net::Request request = callerRequest(scenario, id, parts);
        if (scenario.readsRawBytes)
            callRaw(address, request, outcome, yield);
        else
            call(caller, address, request, outcome, yield);
        for (const auto &target : targets)
            outcome.sends.push_back(target->received().size());
    }
}

// Sends the parallel requests of the scenario but one.
inline void sendCopies(asio::io_context &context, const Scenario &scenario,
                       const net::Address &address)
{
    for (std::size_t i = 1; i < scenario.parallelRequests; ++i) {
        net::spawnCoroutine(context, "[test]", [=, &scenario](asio::yield_context yield) {
            net::HttpClient caller(yield.get_executor(), {});
            Outcome ignored;
            call(caller, address, callerRequest(scenario, "own", ""), ignored, yield);
        });
    }
}

// Sends a request for each entry of `prompts`, one after the other, to one relay. Returns the
// outcome of each; `sends` counts all requests so far.
inline std::vector<Outcome> runScenario(const Scenario &scenario,
                                        const std::vector<std::string> &prompts)
{
    const auto start = std::chrono::steady_clock::now();
    TestContext context;
    std::vector<std::unique_ptr<FakeTarget>> targets;
    for (const Behaviour behaviour : scenario.targets)
        targets.push_back(std::make_unique<FakeTarget>(context, behaviour));
    std::vector<net::Address> addresses;
    addresses.reserve(targets.size());
    for (const auto &target : targets)
        addresses.push_back(target->address());
    std::unique_ptr<RawTarget> rawTarget;
    if (scenario.raw) {
        rawTarget = std::make_unique<RawTarget>(context, *scenario.raw);
        addresses[scenario.rawIndex] = rawTarget->address();
    }
    if (scenario.startFirstTarget)
        addresses.front() = scenario.startFirstTarget(context);
    const fleet::ViewPtr view = makeView(scenario, addresses, ViewChange::None);
    const fleet::ViewPtr laterView = makeView(scenario, addresses, scenario.change);
    const Codec codec = testCodec();
    net::HttpClient targetClient(context.get_executor(), {});
    dispatch::Placer placer("near", 1, { .otherDataCentreCost = dispatch::Seconds(1) });
    Metrics metrics;
    base::EventLog log({ .linesPerSecond = 0, .burst = 0 });
    quarantine::PartQuarantine partQuarantine(
            { .minSpan = milliseconds(0), .settleTime = milliseconds(0) });
    Relay relay({ .codec = codec,
                  .client = targetClient,
                  .placer = placer,
                  .metrics = metrics,
                  .log = log,
                  .deploymentState =
                          [&] {
                              const bool isLater = !targets.front()->received().empty();
                              return deploymentState(scenario, isLater ? laterView : view);
                          },
                  .partQuarantine = partQuarantine,
                  .options = { .responseMemoryBytes = scenario.responseMemoryBytes,
                               .retryBudget = scenario.retryBudget } });
    const net::Handler handler = [&relay](net::Exchange &exchange, asio::yield_context yield) {
        relay.serve(exchange, yield);
    };
    net::HttpServer server({ { &context, handler } }, {});
    std::error_code error;
    server.listen({ "127.0.0.1", 0 }, error);

    std::vector<Outcome> outcomes;
    milliseconds maxStall{ 0 };
    std::size_t maxHeapBytes = 0;
    net::spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
        recordUsage(maxStall, maxHeapBytes, yield);
    });
    sendCopies(context, scenario, server.localAddress());
    net::spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
        sendPrompts(scenario, prompts, server.localAddress(), targets, outcomes, yield);
        if (rawTarget != nullptr)
            recordRawTarget(*rawTarget, start + kMaxTime, outcomes.back(), yield);
        context.stop();
    });
    context.run_for(seconds(10));
    const auto *status = placer.targetTracker().find(view->targets().front());
    outcomes.back().hasFault = status != nullptr && status->faultCount > 0;
    outcomes.back().maxStall = maxStall;
    outcomes.back().maxHeapBytes = maxHeapBytes;
    context.shutdown();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.name, prompts.size(), outcomes.size());
    return outcomes;
}

inline Outcome runScenario(const Scenario &scenario)
{
    return runScenario(scenario, { "" }).front();
}

} // namespace chervilfield::relay
