#pragma once

#include "base/hybrid_clock.h"
#include "base/time_line.h"
#include "configuration/configuration.h"
#include "engine/engine.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/platform_client.h"
#include "service/order_service.h"
#include "traffic/request_handler.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include <exception>
#include <memory>
#include <string>
#include <vector>

namespace chervilfield::traffic {

inline constexpr std::string_view kTestKey = "test-key";        // API key of customer "c".
inline constexpr std::string_view kOtherKey = "other-test-key"; // API key of customer "d".
inline constexpr std::chrono::milliseconds kTestTimeout{ 5000 };

/// Runs engines, an order service and the request handler of a traffic thread on one event loop,
/// connected over the loopback interface. The table service is unreachable.
class TrafficFixture
{
public:
    explicit TrafficFixture(std::size_t engineCount)
    {
        for (std::size_t i = 0; i < engineCount; ++i)
            addEngine("engine-" + std::to_string(i));
        serviceServer_ = startServer(
                [this](auto &exchange, const auto &yield) { service.handle(exchange, yield); });
        table_ = std::make_shared<const TargetTable>(makeConfiguration());
        entryServer_ = startServer(makeRequestHandler(thread_, info_));
    }

    /// Runs `body` in a coroutine, and the event loop until `body` has ended.
    void run(const std::function<void(const boost::asio::yield_context &)> &body)
    {
        bool ended = false;
        std::exception_ptr failure;
        net::spawnCoroutine(context, "[test]", [&](const boost::asio::yield_context &yield) {
            try {
                body(yield);
            } catch (const CppUnit::Exception &) {
                failure = std::current_exception();
            }
            ended = true;
        });
        const auto deadline = std::chrono::steady_clock::now() + 4 * kTestTimeout;
        while (!ended && std::chrono::steady_clock::now() < deadline)
            context.run_one_for(std::chrono::milliseconds(100));
        if (failure != nullptr)
            std::rethrow_exception(failure);
        CPPUNIT_ASSERT_MESSAGE("the test body did not end in time", ended);
    }

    /// Sends a request to the entry instance.
    std::optional<net::Response> send(net::Request request, const boost::asio::yield_context &yield)
    {
        if (!net::findHeader(request.headers, "Authorization"))
            request.headers.push_back({ "Authorization", "Bearer " + std::string(kTestKey) });
        std::error_code error;
        return client.send(entryServer_->localAddress(), request, kTestTimeout, yield, error);
    }

    /// Sends `body` to the fault injection interface of an engine.
    void injectFault(std::size_t index, const std::string &body,
                     const boost::asio::yield_context &yield)
    {
        std::error_code error;
        const net::Request request{ .method = "POST", .target = "/control", .body = body };
        client.send(engineServers_[index]->localAddress(), request, kTestTimeout, yield, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
    }

    /// Replaces the configuration by an empty one, as it is until the control plane has started.
    void removeConfiguration()
    {
        table_ = std::make_shared<const TargetTable>(
                std::make_shared<const configuration::Configuration>());
    }

    /// Sends a request directly to an engine, as another instance does.
    net::Response sendToEngine(std::size_t index, const net::Request &request,
                               const boost::asio::yield_context &yield)
    {
        std::error_code error;
        const auto response = client.send(engineServers_[index]->localAddress(), request,
                                          kTestTimeout, yield, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), response.has_value());
        return *response;
    }

    TargetInfo engine(std::size_t index) const
    {
        const std::string name = "engine-" + std::to_string(index);
        return { .id = targetId(name),
                 .name = name,
                 .address = engineServers_[index]->localAddress() };
    }

    boost::asio::io_context context;
    standins::OrderService service{ context };
    net::HttpClient client{ context.get_executor(), {} };
    Metrics metrics;
    Router router{ RouterOptions{} };

private:
    std::unique_ptr<net::HttpServer> startServer(net::Handler handler)
    {
        auto server = std::make_unique<net::HttpServer>(
                std::vector<net::ServerWorker>{ { &context, std::move(handler) } },
                net::ServerOptions{});
        std::error_code error;
        server->listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        return server;
    }

    void addEngine(const std::string &name)
    {
        engines_.push_back(std::make_unique<standins::Engine>(
                context, standins::EngineOptions{ .name = name,
                                                  .tokenInterval = std::chrono::milliseconds(5) }));
        engineServers_.push_back(
                startServer([engine = engines_.back().get()](auto &exchange, const auto &yield) {
                    engine->handle(exchange, yield);
                }));
    }

    configuration::ConfigurationPtr makeConfiguration() const
    {
        using namespace configuration;
        ResourceSet set;
        const auto labels = [](const std::string &use) { return Labels{ { "use", use } }; };
        const auto select = [](const std::string &use) {
            return LabelSelector{ { { "use", Operator::Equals, { use } } } };
        };
        for (std::size_t i = 0; i < engineServers_.size(); ++i) {
            set.targets.push_back(std::make_shared<Target>(
                    Target{ .name = "engine-" + std::to_string(i),
                            .address = toString(engineServers_[i]->localAddress()),
                            .labels = labels("chat") }));
        }
        set.targets.push_back(std::make_shared<Target>(
                Target{ .name = "desk",
                        .address = toString(serviceServer_->localAddress()),
                        .kind = TargetKind::Service,
                        .labels = labels("orders") }));
        set.pools.push_back(std::make_shared<Pool>(Pool{ .name = "chat",
                                                         .labels = labels("chat"),
                                                         .selector = select("chat"),
                                                         .model = "m",
                                                         .weights = "v1" }));
        set.pools.push_back(std::make_shared<Pool>(Pool{ .name = "orders",
                                                         .labels = labels("orders"),
                                                         .selector = select("orders"),
                                                         .kind = TargetKind::Service }));
        set.customers.push_back(std::make_shared<Customer>(
                Customer{ .name = "c", .apiKeyHash = hashApiKey(kTestKey) }));
        set.customers.push_back(std::make_shared<Customer>(
                Customer{ .name = "d", .apiKeyHash = hashApiKey(kOtherKey) }));
        set.customers.push_back(std::make_shared<Customer>(
                Customer{ .name = "without key", .apiKeyHash = hashApiKey("") }));
        set.intents.push_back(std::make_shared<RoutingIntent>(
                RoutingIntent{ .name = "chat", .model = "m", .pools = select("chat") }));
        set.intents.push_back(
                std::make_shared<RoutingIntent>(RoutingIntent{ .name = "orders",
                                                               .pathPrefix = "/orders",
                                                               .pools = select("orders"),
                                                               .isIdempotent = false }));
        set.intents.push_back(std::make_shared<RoutingIntent>(RoutingIntent{
                .name = "status", .pathPrefix = "/status", .pools = select("orders") }));
        return std::make_shared<const Configuration>(1, std::move(set));
    }

    // Nothing listens on port 1.
    platform::PlatformClient platform_{ context.get_executor(),
                                        { .table = { "127.0.0.1", 1 },
                                          .objects = { "127.0.0.1", 1 },
                                          .instances = { "127.0.0.1", 1 },
                                          .timeout = std::chrono::milliseconds(50),
                                          .writeOutcomeTimeout = std::chrono::milliseconds(100) } };
    base::HybridClock clock_;
    base::TimeLine timeLine_{ "test", 100, clock_ };
    OrderRegistry orderRegistry_{ "life", [](const std::string &) { return false; } };
    RetryBudgets retryBudgets_;
    TargetTablePtr table_;
    Services services_{ .router = router,
                        .metrics = metrics,
                        .timeLine = timeLine_,
                        .orderRegistry = orderRegistry_,
                        .retryBudgets = retryBudgets_,
                        .targetTable = [this] { return table_; },
                        .options = { .progressTimeout = std::chrono::milliseconds(200) } };
    TrafficThread thread_{ services_, context, client, platform_ };
    InstanceInfo info_{ .entries = [](const net::Address &) { return std::string("{}"); },
                        .isReady = [] { return true; } };
    std::vector<std::unique_ptr<standins::Engine>> engines_;
    std::vector<std::unique_ptr<net::HttpServer>> engineServers_;
    std::unique_ptr<net::HttpServer> serviceServer_;
    std::unique_ptr<net::HttpServer> entryServer_;
};

} // namespace chervilfield::traffic
