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

struct EngineOptions
{
    std::string name = "engine";
    std::string weights = "v1";
    std::size_t maxCachedBlocks = 256;
    double prefillTokensPerSecond = 200000;
    std::chrono::microseconds tokenInterval{ 2000 };
    std::size_t batchSlots = 64;
    bool checksFencing = true;
    std::chrono::milliseconds roundTripDelay{
        0
    }; ///< Added before each response, one way and back.
};

/// Faults that `POST /control` sets.
struct EngineFaults
{
    double slowFactor = 1.0;
    double lostEventShare = 0.0; ///< Share of cache events that are not published.
};

/// One request that the engine has accepted. It goes on when the connection of its stream is lost,
/// so that a caller can attach again.
struct Generation
{
    explicit Generation(boost::asio::io_context &context)
        : stateChanged(context, boost::asio::steady_timer::time_point::max())
    {
    }

    void cancel()
    {
        isCancelled = true;
        stateChanged.cancel();
    }

    std::string requestId;
    std::string prompt;
    std::string cacheSalt;
    std::uint64_t firstToken = 0;
    std::uint64_t maxTokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    int priority = 0;
    std::size_t historyIndex = 0; ///< Index of its entry, if the history has room for it.
    bool isDecoding = false;
    bool isCancelled = false;
    std::chrono::steady_clock::time_point decodeStart;
    std::chrono::microseconds tokenInterval{ 0 };
    /// Never expires; cancelled when decoding starts or the request is cancelled.
    boost::asio::steady_timer stateChanged;
};

/// Model engine that computes nothing: prefill takes time for each token that is not cached, one
/// request at a time in order of priority; decoding takes one interval a token in a batch slot.
class Engine
{
public:
    Engine(boost::asio::io_context &context, EngineOptions options);

    void handle(net::Exchange &exchange, const boost::asio::yield_context &yield);

private:
    using GenerationPtr = std::shared_ptr<Generation>;
    using Yield = boost::asio::yield_context;

    void complete(net::Exchange &exchange, const Yield &yield);
    void attach(net::Exchange &exchange, const Yield &yield);
    void cancel(net::Exchange &exchange, const Yield &yield);
    void order(net::Exchange &exchange, const Yield &yield);
    void expectedAnswer(net::Exchange &exchange, const Yield &yield);
    void control(net::Exchange &exchange, const Yield &yield);
    void streamTokens(net::Exchange &exchange, const GenerationPtr &generation, std::uint64_t from,
                      const Yield &yield);
    void answerWhole(net::Exchange &exchange, const GenerationPtr &generation, const Yield &yield);
    void recordLookUp(const Generation &generation);
    void generate(const GenerationPtr &generation, const Yield &yield);
    void prefill(const GenerationPtr &generation, const Yield &yield);
    void crash();
    void waitForToken(Generation &generation, const Yield &yield);
    void pause(std::chrono::microseconds duration, const Yield &yield);
    std::string eventsJson(std::uint64_t from) const;
    std::string snapshotJson() const;
    std::string identityJson() const;
    std::string metricsText() const;

    boost::asio::io_context &context_;
    EngineOptions options_;
    EngineFaults faults_;
    std::uint64_t life_; ///< Start time in milliseconds, so that a new process has a new life.
    std::uint64_t silenceEpoch_ = 0;
    std::uint64_t highestFence_ = 0;
    BlockCache cache_;
    PrioritySlots prefillSlot_;
    PrioritySlots batchSlots_;
    std::unordered_map<std::string, GenerationPtr> generations_;
    boost::json::array history_;
    std::uint64_t queuedPrefillTokens_ = 0;
    std::uint64_t running_ = 0;
};

} // namespace chervilfield::standins
