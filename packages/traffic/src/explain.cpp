#include "traffic/explain.h"

#include "base/result.h"
#include "http/error_response.h"
#include "prefix/chain.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace chervilfield::traffic {

namespace json = boost::json;
using base::Result;

namespace {

double toMilliseconds(routing::Cost cost)
{
    constexpr double kMillisecondsPerSecond = 1000;
    return cost.count() * kMillisecondsPerSecond;
}

json::object candidateObject(const routing::CandidateCost &cost, const RouteTargets &targets)
{
    return { { "target", targets.targets[cost.index].name },
             { "dataCentre", targets.targets[cost.index].dataCentre },
             { "homeDepth", cost.homeDepth },
             { "cachedTokens", cost.cachedTokens },
             { "pathMs", toMilliseconds(cost.path) },
             { "queueMs", toMilliseconds(cost.queue) },
             { "prefillMs", toMilliseconds(cost.prefill) },
             { "displacementMs", toMilliseconds(cost.displacement) },
             { "totalMs", toMilliseconds(cost.total()) } };
}

const configuration::Customer *findCustomer(const configuration::Configuration &configuration,
                                            const std::string &name)
{
    const auto &customers = configuration.resources().customers;
    const auto found =
            std::ranges::find(customers, name, [](const auto &customer) { return customer->name; });
    return found == customers.end() ? nullptr : found->get();
}

const configuration::Route *findRoute(const configuration::Configuration &configuration,
                                      const configuration::Customer &customer,
                                      const std::string &target)
{
    if (const auto model = net::queryParameter(target, "model"))
        return configuration.findModelRoute(*model, customer);
    const auto path = net::queryParameter(target, "path").value_or("");
    return configuration.findPathRoute(path, customer);
}

} // namespace

net::Response explainRequest(const Services &services, const net::Request &request)
{
    const TargetTablePtr table = services.targetTable();
    const auto name = net::queryParameter(request.target, "customer").value_or("");
    const auto *customer = findCustomer(table->configuration(), name);
    if (customer == nullptr)
        return http::errorResponse({ .code = Result::NotFound, .detail = "No such customer." });
    const auto *route = findRoute(table->configuration(), *customer, request.target);
    if (route == nullptr)
        return http::errorResponse({ .code = Result::UnknownModel });
    const RouteTargets &targets = table->targetsOf(*route);
    if (targets.pool == nullptr)
        return http::errorResponse({ .code = Result::NoTarget });
    const std::string prompt = net::queryParameter(request.target, "prompt").value_or("");
    const auto seed = prefix::chainSeed({ .customer = customer->name,
                                          .model = targets.pool->model,
                                          .weights = targets.pool->weights,
                                          .adapter = targets.pool->adapter });
    const auto chain = prefix::blockChain(prompt, seed);
    const auto decision = services.router.explain(
            { .chain = chain, .promptTokens = prefix::estimateTokens(prompt.size()) }, targets);
    json::array candidates;
    for (const routing::CandidateCost &cost : decision.all())
        candidates.push_back(candidateObject(cost, targets));
    json::object body{ { "intent", route->intent->name },
                       { "pool", targets.pool->name },
                       { "revision", table->configuration().revision() },
                       { "result", json::string_view(base::resultInfo(decision.code).name) },
                       { "candidates", std::move(candidates) } };
    if (decision.code == Result::Ok)
        body["chosen"] = targets.targets[decision.choice().index].name;
    return net::jsonResponse(200, json::serialize(body));
}

} // namespace chervilfield::traffic
