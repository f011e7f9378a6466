#pragma once

#include "entry/view_updater.h"

#include "fake_store.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace chervilfield::entry {

using std::chrono::milliseconds;

// Reads each row of `targets` as a ready target. In `deployment`, the row `version` holds the
// version of the configuration and the row `weights` the desired version of model "m".
inline fleet::Deployment readTables(const fleet::TableReplicas &tables,
                                    const std::shared_ptr<const fleet::Configuration> &)
{
    fleet::Deployment deployment;
    for (const auto &[key, row] : tables.at("deployment").rows()) {
        if (key == "weights") {
            deployment.desiredWeights["m"] = std::stoull(row.value);
            continue;
        }
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = std::stoull(row.value);
        deployment.configuration = configuration;
    }
    for (const auto &[key, row] : tables.at("targets").rows())
        deployment.targets.push_back({ .id = key, .pool = row.value });
    return deployment;
}

struct ViewUpdaterFixture
{
    explicit ViewUpdaterFixture(
            ViewUpdaterOptions options = { .longPollTimeout = milliseconds(20),
                                           .pollInterval = milliseconds(1),
                                           .maxCurrentAge = milliseconds(200),
                                           .minBackoff = milliseconds(5),
                                           .maxBackoff = milliseconds(5),
                                           .maxFreshAge = milliseconds(200),
                                           .reregistrationTime = milliseconds(200),
                                           .outageThreshold = milliseconds(50) })
        : updater(context, store, schema, log,
                  { .published = [this](const auto &) { ++publishedViewCount; },
                    .pollFollower = [this](const auto &, const auto &) { return pollFollower(); } },
                  options)
    {
    }

    FollowerResult pollFollower() const
    {
        if (!pollPeer)
            return FollowerResult::NotPolled;
        return pollPeer() ? FollowerResult::UpToDate : FollowerResult::Failed;
    }
    bool hasTarget(const std::string &id) const
    {
        const auto view = updater.view();
        return std::ranges::find(view->targets(), id, &fleet::Target::id) != view->targets().end();
    }
    bool merge(const peers::ConfigurationEntries &entries,
               ViewUpdater::Clock::time_point requestedAt = ViewUpdater::Clock::now())
    {
        return updater.merge(entries, requestedAt);
    }
    std::uint64_t configuration() const
    {
        const auto view = updater.view();
        return view->isComplete() ? view->configuration().version : 0;
    }

    boost::asio::io_context context;
    int publishedViewCount = 0;
    std::function<bool()> pollPeer; ///< Polls a peer; returns true if it is up to date.
    FakeStore store;
    fleet::DeploymentSchema schema{ .tables = { "deployment", "targets" },
                                    .targetTable = "targets",
                                    .readDeployment = readTables };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    ViewUpdater updater;
};

} // namespace chervilfield::entry
