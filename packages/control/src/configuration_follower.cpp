#include "control/configuration_follower.h"

#include "net/http_server.h"

#include <boost/asio/post.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>

namespace chervilfield::control {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Limit for the actor to put an offer in force; it needs well under a millisecond per entry.
constexpr milliseconds kInForceLimit{ 1000 };
constexpr milliseconds kInForcePoll{ 1 };
/// Least time between two polls, so that messages of peers cannot cause a flood of reads.
constexpr milliseconds kMinPollInterval{ 50 };

milliseconds varied(milliseconds interval)
{
    thread_local std::minstd_rand random{ std::random_device{}() };
    std::uniform_real_distribution<double> factor(0.8, 1.2);
    return std::chrono::duration_cast<milliseconds>(interval * factor(random));
}

void pause(asio::io_context &context, milliseconds time, asio::yield_context yield)
{
    asio::steady_timer timer(context, time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace

ConfigurationFollower::ConfigurationFollower(asio::io_context &context,
                                             ConfigurationControl &control,
                                             ConfigurationFollowerOptions options)
    : context_(context), control_(control), options_(std::move(options)), timer_(context)
{
}

void ConfigurationFollower::waitInForce(RevisionNumber revision, asio::yield_context yield)
{
    const auto deadline = steady_clock::now() + kInForceLimit;
    while (control_.current()->revision() < revision && steady_clock::now() < deadline)
        pause(context_, kInForcePoll, yield);
}

void ConfigurationFollower::askPeers(asio::yield_context yield)
{
    if (!options_.fetchFromPeers)
        return;
    const auto entries = options_.fetchFromPeers(control_.current()->revision(), yield);
    control_.offerEntries(entries, "peer");
    if (!entries.empty())
        waitInForce(entries.back().revision, yield);
}

void ConfigurationFollower::askObjects(ConfigurationLog &log, asio::yield_context yield)
{
    std::error_code error;
    RevisionNumber revision = control_.current()->revision();
    if (ConfigurationPtr snapshot = log.readSnapshot(yield, error)) {
        revision = std::max(revision, snapshot->revision());
        control_.offerConfiguration(std::move(snapshot), "snapshot");
    }
    auto entries = log.readObjectsAfter(revision, yield, error);
    if (!entries.empty())
        revision = entries.back().number;
    control_.offerRevisions(std::move(entries), "objects");
    waitInForce(revision, yield);
}

StartSource ConfigurationFollower::startFromPlatform(ConfigurationLog &log,
                                                     asio::yield_context yield)
{
    std::error_code error;
    // The snapshot spares most of the rows; without it, all of them are read.
    ConfigurationPtr snapshot = log.readSnapshot(yield, error);
    RevisionNumber revision = snapshot == nullptr ? 0 : snapshot->revision();
    control_.offerConfiguration(std::move(snapshot), "snapshot");
    auto entries = log.readLatestAfter(revision, yield, error);
    const bool tableAnswers = !error;
    const bool any = revision > 0 || !entries.empty();
    if (!entries.empty())
        revision = entries.back().number;
    control_.offerRevisions(std::move(entries), "table");
    waitInForce(revision, yield);
    if (tableAnswers)
        return StartSource::Table;
    const RevisionNumber before = control_.current()->revision();
    askObjects(log, yield);
    const bool advanced = control_.current()->revision() > before;
    return any || advanced ? StartSource::Objects : StartSource::Nothing;
}

StartSource ConfigurationFollower::start(ConfigurationLog &log, asio::yield_context yield)
{
    struct Progress
    {
        bool platformDone = false;
        bool peersAsked = false;
        bool peersDone = false;
        StartSource source = StartSource::Nothing;
    };
    // Shared, because the coroutines may outlast this call.
    const auto progress = std::make_shared<Progress>();
    net::spawnCoroutine(context_, "[control]", [this, &log, progress](asio::yield_context inner) {
        const StartSource source = startFromPlatform(log, inner);
        if (source != StartSource::Nothing)
            progress->source = source;
        progress->platformDone = true;
    });
    net::spawnCoroutine(context_, "[control]", [this, progress](asio::yield_context inner) {
        const auto tableAnswered = [&] { return progress->source == StartSource::Table; };
        const auto deadline = steady_clock::now() + options_.peerFetchDelay;
        while (!progress->platformDone && steady_clock::now() < deadline)
            pause(context_, kInForcePoll, inner);
        progress->peersAsked = true;
        const RevisionNumber before = control_.current()->revision();
        if (!tableAnswered())
            askPeers(inner);
        const bool advanced = control_.current()->revision() > before;
        if (advanced && progress->source == StartSource::Nothing)
            progress->source = StartSource::Peers;
        progress->peersDone = true;
    });
    const auto limit = steady_clock::now() + options_.startTimeout;
    const auto isDone = [&] {
        if (progress->source == StartSource::Table)
            return progress->peersAsked;
        const bool late = steady_clock::now() >= limit && control_.current()->revision() > 0;
        return late || (progress->platformDone && progress->peersDone);
    };
    while (!isDone())
        pause(context_, kInForcePoll, yield);
    if (progress->source == StartSource::Nothing && control_.current()->revision() > 0)
        progress->source = StartSource::Objects;
    LOG(INFO) << "[control] Started with revision " << control_.current()->revision() << " from "
              << toString(progress->source) << '.';
    return progress->source;
}

void ConfigurationFollower::poll(ConfigurationLog &log, asio::yield_context yield)
{
    std::error_code error;
    auto entries = log.readAfter(control_.current()->revision(), yield, error);
    const bool answers = !error;
    if (answers != std::exchange(tableAnswers_, answers)) {
        if (answers)
            LOG(INFO) << "[control] The table service answers again.";
        else
            LOG(WARNING) << "[control] The table service does not answer; revision "
                         << control_.current()->revision() << " stays in force.";
    }
    const RevisionNumber last = entries.empty() ? 0 : entries.back().number;
    control_.offerRevisions(std::move(entries), "table");
    waitInForce(last, yield);
    const auto isBehind = [this] {
        return control_.highestKnown() > control_.current()->revision();
    };
    if (isBehind())
        askPeers(yield);
    // A peer's answer can be too large for one message; the object service has no such limit.
    if (!answers && isBehind())
        askObjects(log, yield);
}

void ConfigurationFollower::run(ConfigurationLog &log, asio::yield_context yield)
{
    while (!stopped_) {
        if (!std::exchange(kicked_, false)) {
            timer_.expires_after(varied(options_.pollInterval));
            boost::system::error_code ignored;
            timer_.async_wait(yield[ignored]);
            kicked_ = false;
        }
        if (stopped_)
            break;
        poll(log, yield);
        pause(context_, std::min(kMinPollInterval, options_.pollInterval), yield);
    }
}

void ConfigurationFollower::requestPoll()
{
    asio::post(context_, [this] {
        kicked_ = true;
        timer_.cancel();
    });
}

void ConfigurationFollower::stop()
{
    asio::post(context_, [this] {
        stopped_ = true;
        timer_.cancel();
    });
}

std::string_view toString(StartSource source)
{
    switch (source) {
    case StartSource::Nothing:
        return "nothing";
    case StartSource::Table:
        return "table";
    case StartSource::Objects:
        return "objects";
    case StartSource::Peers:
        break;
    }
    return "peers";
}

} // namespace chervilfield::control
