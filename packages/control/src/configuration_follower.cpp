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

/// Maximum time to wait until the actor has put an offer in force. The actor needs well under a
/// millisecond per entry.
constexpr milliseconds kInForceTimeout{ 1000 };
constexpr milliseconds kInForcePollInterval{ 1 };
/// Minimum time between two polls, so that frequent messages of peers do not overload the table.
constexpr milliseconds kMinPollInterval{ 50 };

milliseconds withJitter(milliseconds interval)
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

void ConfigurationFollower::waitUntilInForce(RevisionNumber revision, asio::yield_context yield)
{
    const auto deadline = steady_clock::now() + kInForceTimeout;
    while (control_.current()->revision() < revision && steady_clock::now() < deadline)
        pause(context_, kInForcePollInterval, yield);
}

void ConfigurationFollower::fetchEntriesFromPeers(asio::yield_context yield)
{
    if (!options_.fetchFromPeers)
        return;
    const auto entries = options_.fetchFromPeers(control_.current()->revision(), yield);
    control_.offerEntries(entries, "peer");
    if (!entries.empty())
        waitUntilInForce(entries.back().revision, yield);
}

void ConfigurationFollower::fetchEntriesFromObjects(ConfigurationLog &log,
                                                    asio::yield_context yield)
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
    waitUntilInForce(revision, yield);
}

StartSource ConfigurationFollower::startFromPlatform(ConfigurationLog &log,
                                                     asio::yield_context yield)
{
    std::error_code error;
    // With the snapshot only later rows must be read. Without it, all rows are read.
    ConfigurationPtr snapshot = log.readSnapshot(yield, error);
    RevisionNumber revision = snapshot == nullptr ? 0 : snapshot->revision();
    control_.offerConfiguration(std::move(snapshot), "snapshot");
    auto entries = log.readLatestAfter(revision, yield, error);
    const bool isTableReachable = !error;
    const bool hasSnapshotOrEntries = revision > 0 || !entries.empty();
    if (!entries.empty())
        revision = entries.back().number;
    control_.offerRevisions(std::move(entries), "table");
    waitUntilInForce(revision, yield);
    if (isTableReachable)
        return StartSource::Table;
    const RevisionNumber before = control_.current()->revision();
    fetchEntriesFromObjects(log, yield);
    const bool hasAdvanced = control_.current()->revision() > before;
    return hasSnapshotOrEntries || hasAdvanced ? StartSource::Objects : StartSource::Nothing;
}

StartSource ConfigurationFollower::start(ConfigurationLog &log, asio::yield_context yield)
{
    struct Progress
    {
        bool isPlatformDone = false;
        bool isPeerDelayOver = false;
        bool isPeerFetchDone = false;
        StartSource source = StartSource::Nothing;
    };
    // Shared ownership, because the coroutines may outlive this call.
    const auto progress = std::make_shared<Progress>();
    net::spawnCoroutine(context_, "[control]", [this, &log, progress](asio::yield_context inner) {
        const StartSource source = startFromPlatform(log, inner);
        if (source != StartSource::Nothing)
            progress->source = source;
        progress->isPlatformDone = true;
    });
    net::spawnCoroutine(context_, "[control]", [this, progress](asio::yield_context inner) {
        const auto hasTableAnswered = [&] { return progress->source == StartSource::Table; };
        const auto deadline = steady_clock::now() + options_.peerFetchDelay;
        while (!progress->isPlatformDone && steady_clock::now() < deadline)
            pause(context_, kInForcePollInterval, inner);
        progress->isPeerDelayOver = true;
        const RevisionNumber before = control_.current()->revision();
        if (!hasTableAnswered())
            fetchEntriesFromPeers(inner);
        const bool hasAdvanced = control_.current()->revision() > before;
        if (hasAdvanced && progress->source == StartSource::Nothing)
            progress->source = StartSource::Peers;
        progress->isPeerFetchDone = true;
    });
    const auto startDeadline = steady_clock::now() + options_.startTimeout;
    const auto isDone = [&] {
        if (progress->source == StartSource::Table)
            return progress->isPeerDelayOver;
        const bool isTimedOut =
                steady_clock::now() >= startDeadline && control_.current()->revision() > 0;
        return isTimedOut || (progress->isPlatformDone && progress->isPeerFetchDone);
    };
    while (!isDone())
        pause(context_, kInForcePollInterval, yield);
    if (progress->source == StartSource::Nothing && control_.current()->revision() > 0)
        progress->source = StartSource::Objects;
    LOG(INFO) << "[control] Started with revision " << control_.current()->revision()
              << "; source: " << toString(progress->source) << '.';
    return progress->source;
}

void ConfigurationFollower::poll(ConfigurationLog &log, asio::yield_context yield)
{
    std::error_code error;
    auto entries = log.readAfter(control_.current()->revision(), yield, error);
    const bool isReachable = !error;
    if (isReachable != std::exchange(isTableReachable_, isReachable)) {
        if (isReachable)
            LOG(INFO) << "[control] The table service is reachable again.";
        else
            LOG(WARNING) << "[control] The table service is unreachable; revision "
                         << control_.current()->revision() << " stays in force.";
    }
    const RevisionNumber last = entries.empty() ? 0 : entries.back().number;
    control_.offerRevisions(std::move(entries), "table");
    waitUntilInForce(last, yield);
    const auto isBehind = [this] {
        return control_.highestKnown() > control_.current()->revision();
    };
    if (isBehind())
        fetchEntriesFromPeers(yield);
    // The answer of a peer may exceed the maximum message size; the object service has no such
    // limit.
    if (!isReachable && isBehind())
        fetchEntriesFromObjects(log, yield);
}

void ConfigurationFollower::run(ConfigurationLog &log, asio::yield_context yield)
{
    while (!isStopped_) {
        if (!std::exchange(isPollRequested_, false)) {
            timer_.expires_after(withJitter(options_.pollInterval));
            boost::system::error_code ignored;
            timer_.async_wait(yield[ignored]);
            isPollRequested_ = false;
        }
        if (isStopped_)
            break;
        poll(log, yield);
        pause(context_, std::min(kMinPollInterval, options_.pollInterval), yield);
    }
}

void ConfigurationFollower::requestPoll()
{
    asio::post(context_, [this] {
        isPollRequested_ = true;
        timer_.cancel();
    });
}

void ConfigurationFollower::stop()
{
    asio::post(context_, [this] {
        isStopped_ = true;
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
