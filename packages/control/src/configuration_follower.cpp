#include "control/configuration_follower.h"

#include <boost/asio/post.hpp>

#include <glog/logging.h>

#include <algorithm>
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

StartSource ConfigurationFollower::startFromTable(ConfigurationLog &log, asio::yield_context yield)
{
    std::error_code error;
    ConfigurationPtr snapshot = log.readSnapshot(yield, error);
    RevisionNumber revision = snapshot == nullptr ? 0 : snapshot->revision();
    const StartSource fallback = snapshot == nullptr ? StartSource::Nothing : StartSource::Objects;
    control_.offerConfiguration(std::move(snapshot), "snapshot");
    auto entries = log.readLatestAfter(revision, yield, error);
    const bool fromTable = !error;
    if (!fromTable && entries.empty())
        entries = log.readObjectsAfter(revision, yield, error);
    const bool any = !entries.empty();
    if (any)
        revision = entries.back().number;
    control_.offerRevisions(std::move(entries), fromTable ? "table" : "objects");
    waitInForce(revision, yield);
    if (fromTable)
        return StartSource::Table;
    return any ? StartSource::Objects : fallback;
}

StartSource ConfigurationFollower::start(ConfigurationLog &log, asio::yield_context yield)
{
    StartSource source = startFromTable(log, yield);
    const RevisionNumber before = control_.current()->revision();
    askPeers(yield);
    if (source == StartSource::Nothing && control_.current()->revision() > before)
        source = StartSource::Peers;
    LOG(INFO) << "[control] Started with revision " << control_.current()->revision() << " from "
              << toString(source) << '.';
    return source;
}

void ConfigurationFollower::poll(ConfigurationLog &log, asio::yield_context yield)
{
    std::error_code error;
    auto entries = log.readAfter(control_.current()->revision(), yield, error);
    const bool answers = !error;
    if (answers != std::exchange(tableAnswers_, answers)) {
        LOG(WARNING) << (answers ? "[control] The table service answers again."
                                 : "[control] The table service does not answer; revision ")
                     << (answers ? "" : std::to_string(control_.current()->revision()))
                     << (answers ? "" : " stays in force.");
    }
    const RevisionNumber last = entries.empty() ? 0 : entries.back().number;
    control_.offerRevisions(std::move(entries), "table");
    waitInForce(last, yield);
    if (control_.highestKnown() > control_.current()->revision())
        askPeers(yield);
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

void ConfigurationFollower::kick()
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
