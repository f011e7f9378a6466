#pragma once

#include "net/http_client.h"
#include "traffic/metrics.h"
#include "traffic/router.h"
#include "traffic/target_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace chervilfield::traffic {

/// Timing of a CacheFollower.
struct CacheFollowerOptions
{
    std::chrono::milliseconds pollInterval{ 250 };    ///< Time between two polling rounds.
    std::chrono::milliseconds requestTimeout{ 1000 }; ///< Timeout of one request to an engine.
};

/// Keeps the router's index of cached blocks up to date by reading the cache events of the engines
/// that this daemon follows. It reads a snapshot after a lost event and for a new engine life.
/// Engines are polled concurrently, so an engine that does not answer delays no other. All
/// functions must be called on the thread of `context`.
class CacheFollower
{
public:
    /// Returns the engines to follow. Called at the start of each polling round.
    using EngineSource = std::function<std::vector<TargetInfo>()>;

    /// The referenced objects must outlive the follower. Destroy it only after `run()` has returned
    /// or `context` has stopped.
    CacheFollower(boost::asio::io_context &context, Router &router, Metrics &metrics,
                  EngineSource engineSource, CacheFollowerOptions options = {});
    CacheFollower(const CacheFollower &) = delete;
    CacheFollower &operator=(const CacheFollower &) = delete;

    /// Polls the engines until `stop()` is called, and returns after the polls in progress have
    /// ended.
    void run(const boost::asio::yield_context &yield);

    /// Makes `run()` start no more polls and return.
    void stop() { isStopping_ = true; }

    /// Reads the new cache events of one engine, or a snapshot if events are missing or no snapshot
    /// of its current life has been applied. A failed read is only logged; the next poll repeats
    /// it.
    void poll(const TargetInfo &engine, const boost::asio::yield_context &yield);

private:
    using EngineSet = std::unordered_set<routing::TargetId>;

    void startRound();
    bool pollEvents(const TargetInfo &engine, std::uint64_t firstNumber,
                    const boost::asio::yield_context &yield);
    void resynchronise(const TargetInfo &engine, const FollowPosition &before,
                       const boost::asio::yield_context &yield);

    boost::asio::io_context &context_;
    Router &router_;
    Metrics &metrics_;
    EngineSource engineSource_;
    const CacheFollowerOptions options_;
    net::HttpClient client_;
    EngineSet followed_; ///< Engines to follow, as of the last round.
    EngineSet polled_;   ///< Engines with a poll in progress.
    bool isStopping_ = false;
};

} // namespace chervilfield::traffic
