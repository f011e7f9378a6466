#pragma once

#include "common/process.h"
#include "engine/block_cache.h"
#include "engine/priority_slots.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilfield::standins {

/// Options of an engine, which the command line sets.
struct EngineOptions
{
    std::string name = "engine";
    std::string weights = "v1"; ///< Version of the model that is loaded at the start.
    std::size_t maxCachedBlocks = 256;
    double prefillTokensPerSecond = 200000;
    std::chrono::microseconds tokenInterval{ 2000 };
    std::size_t batchSlots = 64;
    bool checksFencing = true; ///< Whether orders with an old fencing token are refused.
    /// Simulated network delay of both directions, added before each response.
    std::chrono::milliseconds roundTripDelay{ 0 };
};

/// Faults that `POST /control` sets.
struct EngineFaults
{
    double slowFactor = 1.0;     ///< Multiplies the times of prefill and decoding.
    double lostEventShare = 0.0; ///< `eventLoss`: share of cache events left out.
};

/// A request that the engine has accepted. It continues when the connection of its stream is lost,
/// so that a caller can attach again.
struct Generation
{
    explicit Generation(boost::asio::io_context &context)
        : stateChanged(context, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Ends the generation and wakes the coroutines that wait for decoding to start.
    void cancel()
    {
        isCancelled = true;
        stateChanged.cancel();
    }

    std::string requestId;
    std::string prompt;
    std::string cacheSalt;
    std::uint64_t firstToken = 0; ///< Index of the first token to produce.
    std::uint64_t maxTokens = 0;  ///< Number of tokens of the whole answer.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    int priority = 0; ///< Lower values are served first.
    /// Index of its entry in the history, which has no such entry if it was full.
    std::size_t historyIndex = 0;
    bool isDecoding = false;
    bool isCancelled = false;
    std::chrono::steady_clock::time_point decodeStart;
    std::chrono::microseconds tokenInterval{ 0 };
    /// Timer that never expires. It is cancelled when decoding starts or the request is cancelled.
    boost::asio::steady_timer stateChanged;
};

/// Stand-in for a model engine that simulates times instead of computing. Prefill takes time for
/// each token that is not cached and runs one request at a time, in order of priority. Decoding
/// takes one interval per token in a batch slot. All requests must run on the thread of `context`.
class Engine
{
public:
    Engine(boost::asio::io_context &context, EngineOptions options);

    /// Serves one request.
    void handle(net::Exchange &exchange, const boost::asio::yield_context &yield);

private:
    using GenerationPtr = std::shared_ptr<Generation>;
    using Yield = boost::asio::yield_context;

    void complete(net::Exchange &exchange, const Yield &yield);
    void attach(net::Exchange &exchange, const Yield &yield);
    void cancel(net::Exchange &exchange, const Yield &yield);
    void changeWeights(net::Exchange &exchange, const Yield &yield);
    void sendExpectedAnswer(net::Exchange &exchange, const Yield &yield);
    void control(net::Exchange &exchange, const Yield &yield);
    void streamTokens(net::Exchange &exchange, const GenerationPtr &generation, std::uint64_t from,
                      const Yield &yield);
    void sendWholeAnswer(net::Exchange &exchange, const GenerationPtr &generation,
                         const Yield &yield);
    void recordLookUp(const Generation &generation);
    void generate(const GenerationPtr &generation, const Yield &yield);
    void prefill(const GenerationPtr &generation, const Yield &yield);
    void crash();
    void waitForToken(Generation &generation, const Yield &yield);
    void sleepFor(std::chrono::microseconds duration, const Yield &yield);
    std::string eventsJson(std::uint64_t from) const;
    std::string snapshotJson() const;
    std::string identityJson() const;
    std::string metricsText() const;

    boost::asio::io_context &context_;
    EngineOptions options_;
    EngineFaults faults_;
    /// Identifies one run of the engine, so that a new process has a new life. Intended is the
    /// start time in milliseconds, but the constructor does not set it.
    std::uint64_t life_;
    std::uint64_t silenceEpoch_ = 0;
    std::uint64_t highestFencingToken_ = 0;
    BlockCache cache_;
    PrioritySlots prefillSlot_;
    PrioritySlots batchSlots_;
    std::unordered_map<std::string, GenerationPtr> generations_;
    boost::json::array history_;
    std::uint64_t queuedPrefillTokens_ = 0;
    std::uint64_t runningCount_ = 0;
};

} // namespace chervilfield::standins
