#include "daemon/traffic_pool.h"

#include "http/error_response.h"
#include "net/http_client.h"
#include "platform/platform_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstdint>
#include <thread>

namespace chervilfield::daemon {

namespace {

// Two bodies of the maximum size fit even if larger ones are allowed than usual.
constexpr std::uint64_t kMinRequestMemoryBytes = 256U << 20U;

} // namespace

struct TrafficPool::Worker
{
    Worker(const Settings &settings, const traffic::Services &services)
        : work(context.get_executor()), client(context.get_executor(), {}),
          platform(context.get_executor(), { .table = settings.platform,
                                             .objects = settings.platform,
                                             .instances = settings.platform,
                                             .timeout = settings.platformTimeout }),
          thread{ services, context, client, platform }
    {
    }

    // Exactly one thread runs the context; the hint lets Asio omit locks.
    boost::asio::io_context context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    net::HttpClient client;
    platform::PlatformClient platform;
    traffic::TrafficThread thread;
    std::thread runner;
};

TrafficPool::TrafficPool(const Settings &settings, const traffic::Services &services,
                         const traffic::InstanceInfo &instanceInfo)
    : address_(settings.callers)
{
    std::vector<net::ServerWorker> serverWorkers;
    for (std::uint64_t i = 0; i < settings.threads; ++i) {
        workers_.push_back(std::make_unique<Worker>(settings, services));
        Worker &worker = *workers_.back();
        serverWorkers.push_back(
                { &worker.context, traffic::makeRequestHandler(worker.thread, instanceInfo) });
    }
    net::ServerOptions options{
        .maxBodyBytes = settings.maxBodyBytes,
        .maxConnections = settings.maxConnections,
        .requestMemoryBytes = std::max(kMinRequestMemoryBytes, 2 * settings.maxBodyBytes),
        .errorResponse = [](base::Result result) { return http::errorResponse({ .code = result }); }
    };
    server_ = std::make_unique<net::HttpServer>(std::move(serverWorkers), std::move(options));
}

TrafficPool::~TrafficPool()
{
    for (auto &worker : workers_)
        worker->context.stop();
    for (auto &worker : workers_) {
        if (worker->runner.joinable())
            worker->runner.join();
    }
}

void TrafficPool::bind(std::error_code &error)
{
    server_->listen(address_, error);
}

void TrafficPool::run()
{
    for (auto &worker : workers_)
        worker->runner = std::thread([&context = worker->context] { context.run(); });
}

void TrafficPool::closeAfterResponses()
{
    server_->closeAfterResponses();
}

void TrafficPool::stopAccepting()
{
    server_->stopAccepting();
}

net::Address TrafficPool::localAddress() const
{
    return server_->localAddress();
}

std::size_t TrafficPool::activeRequests() const
{
    return server_->activeRequests();
}

} // namespace chervilfield::daemon
