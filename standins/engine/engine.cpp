#include "engine/engine.h"

#include "base/hash.h"
#include "base/numbers.h"
#include "engine/answer.h"
#include "net/event_stream.h"
#include "prefix/chain.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sstream>

namespace chervilfield::standins {

namespace json = boost::json;
using net::Exchange;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

/// Maximum number of requests that `/control/history` returns. Later requests are not recorded.
constexpr std::size_t kMaxHistoryEntries = 200000;
/// Interval at which a silent stream checks whether its caller has closed the connection.
constexpr microseconds kSilentStreamPollInterval{ 5000 };

std::string text(const json::object &object, const char *name, std::string defaultValue = {})
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return defaultValue;
    return std::string(value->as_string());
}

std::uint64_t number(const json::object &object, const char *name, std::uint64_t defaultValue)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? defaultValue : value->to_number<std::uint64_t>();
}

json::object parseBody(const Exchange &exchange)
{
    boost::system::error_code error;
    json::value value = json::parse(exchange.request().body, error);
    return error || !value.is_object() ? json::object() : value.as_object();
}

void respond(Exchange &exchange, int status, const json::value &body,
             const boost::asio::yield_context &yield)
{
    std::error_code ignored;
    exchange.respond(net::jsonResponse(status, json::serialize(body)), yield, ignored);
}

/// Returns the seed of the block hashes. Routers send their seed in hexadecimal as the salt, so
/// that both sides compute the same hash for a block.
std::uint64_t blockHashSeed(std::string_view cacheSalt)
{
    constexpr std::size_t kSeedDigits = 16;
    std::uint64_t seed = 0;
    const bool isSeed = cacheSalt.size() == kSeedDigits && base::parseHex(cacheSalt, seed);
    return isSeed ? seed : base::hash64(cacheSalt);
}

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Returns the index after the last token that decoding has produced, counted from the first token
/// of the whole answer.
std::uint64_t producedTokenEnd(const Generation &generation)
{
    if (!generation.isDecoding)
        return generation.firstToken;
    const auto elapsed = steady_clock::now() - generation.decodeStart;
    const auto count = static_cast<std::uint64_t>(elapsed / generation.tokenInterval) + 1;
    return std::min(generation.maxTokens, generation.firstToken + count);
}

/// Returns the time until decoding produces the next token, rounded up.
microseconds timeToNextToken(const Generation &generation)
{
    const auto count = producedTokenEnd(generation) - generation.firstToken;
    const auto nextTokenAt = generation.decodeStart + generation.tokenInterval * count;
    const auto timeLeft =
            std::chrono::duration_cast<microseconds>(nextTokenAt - steady_clock::now());
    return std::max(timeLeft, microseconds(1)) + microseconds(1);
}

json::object encodeUsage(const Generation &generation)
{
    return { { "prompt_tokens", generation.promptTokens },
             { "cached_tokens", generation.cachedTokens },
             { "completion_tokens", generation.maxTokens - generation.firstToken } };
}

} // namespace

Engine::Engine(boost::asio::io_context &context, EngineOptions options)
    : context_(context), options_(std::move(options)), cache_(options_.maxCachedBlocks),
      prefillSlot_(context, 1), batchSlots_(context, options_.batchSlots)
{
}

void Engine::handle(Exchange &exchange, const Yield &yield)
{
    const std::string &target = exchange.request().target;
    const std::string_view path = net::pathOf(target);
    std::error_code ignored;
    if (options_.roundTripDelay.count() > 0)
        sleepFor(options_.roundTripDelay, yield);
    if (path == "/v1/completions")
        return complete(exchange, yield);
    if (path == "/v1/stream")
        return attach(exchange, yield);
    if (path == "/v1/cancel")
        return cancel(exchange, yield);
    if (path == "/v1/orders")
        return changeWeights(exchange, yield);
    if (path == "/control")
        return control(exchange, yield);
    if (path == "/control/answer")
        return sendExpectedAnswer(exchange, yield);
    if (path == "/control/history")
        return respond(exchange, 200, history_, yield);
    if (path == "/v1/identity")
        return exchange.respond(net::jsonResponse(200, identityJson()), yield, ignored);
    if (path == "/v1/cache/snapshot")
        return exchange.respond(net::jsonResponse(200, snapshotJson()), yield, ignored);
    if (path == "/metrics")
        return exchange.respond({ .body = metricsText() }, yield, ignored);
    if (path == "/v1/cache/events") {
        const auto from = net::queryParameter(target, "from").value_or("1");
        return exchange.respond(net::jsonResponse(200, eventsJson(std::stoull(from))), yield,
                                ignored);
    }
    respond(exchange, 404, json::object{ { "error", "not found" } }, yield);
}

void Engine::complete(Exchange &exchange, const Yield &yield)
{
    const json::object body = parseBody(exchange);
    auto generation = std::make_shared<Generation>(context_);
    generation->requestId = text(body, "request_id");
    generation->prompt = text(body, "prompt");
    generation->cacheSalt = text(body, "cache_salt");
    generation->firstToken = number(body, "resume_from", 0);
    generation->maxTokens = number(body, "max_tokens", 16);
    generation->priority = static_cast<int>(number(body, "priority", 0));
    if (generation->requestId.empty() || generations_.contains(generation->requestId))
        return respond(exchange, 409, json::object{ { "error", "request id in use" } }, yield);
    generation->historyIndex = history_.size();
    if (history_.size() < kMaxHistoryEntries) {
        history_.push_back(json::object{ { "request_id", generation->requestId },
                                         { "life", life_ },
                                         { "weights", options_.weights },
                                         { "salt", generation->cacheSalt },
                                         { "at_ms", wallMilliseconds() } });
    }
    generations_[generation->requestId] = generation;
    net::spawnCoroutine(context_, "[engine]",
                        [this, generation](const Yield &inner) { generate(generation, inner); });
    const auto *stream = body.if_contains("stream");
    if (stream != nullptr && stream->is_bool() && stream->as_bool())
        streamTokens(exchange, generation, generation->firstToken, yield);
    else
        sendWholeAnswer(exchange, generation, yield);
}

void Engine::generate(const GenerationPtr &generation, const Yield &yield)
{
    ++runningCount_;
    const std::uint64_t life = life_;
    batchSlots_.acquire(generation->priority, yield);
    prefill(generation, yield);
    generation->tokenInterval = std::max(
            microseconds(1),
            std::chrono::duration_cast<microseconds>(options_.tokenInterval * faults_.slowFactor));
    generation->decodeStart = steady_clock::now();
    generation->isDecoding = true;
    generation->stateChanged.cancel();
    const std::uint64_t count = generation->maxTokens - generation->firstToken;
    const auto end = generation->decodeStart + generation->tokenInterval * count;
    while (!generation->isCancelled && steady_clock::now() < end)
        sleepFor(std::min<microseconds>(
                         std::chrono::milliseconds(20),
                         std::chrono::duration_cast<microseconds>(end - steady_clock::now())
                                 + microseconds(1)),
                 yield);
    batchSlots_.release();
    --runningCount_;
    // Callers can still attach to the finished generation for a while, unless the engine restarts.
    sleepFor(std::chrono::seconds(20), yield);
    if (life == life_)
        generations_.erase(generation->requestId);
}

void Engine::prefill(const GenerationPtr &generation, const Yield &yield)
{
    generation->promptTokens = prefix::estimateTokens(generation->prompt.size());
    const auto chain = prefix::blockChain(generation->prompt, blockHashSeed(generation->cacheSalt));
    queuedPrefillTokens_ += generation->promptTokens;
    prefillSlot_.acquire(generation->priority, yield);
    if (!generation->isCancelled) {
        const std::uint64_t life = life_;
        const std::string weights = options_.weights;
        generation->cachedTokens = cache_.lookUp(chain) * prefix::kBlockTokens;
        recordLookUp(*generation);
        const double uncachedTokens =
                static_cast<double>(generation->promptTokens - generation->cachedTokens);
        const double seconds =
                uncachedTokens / options_.prefillTokensPerSecond * faults_.slowFactor;
        sleepFor(microseconds(static_cast<std::int64_t>(seconds * 1e6)), yield);
        // Blocks from before a restart or a change of weights are not valid any more.
        if (life == life_ && weights == options_.weights)
            cache_.store(chain);
    }
    prefillSlot_.release();
    queuedPrefillTokens_ -= std::min(queuedPrefillTokens_, generation->promptTokens);
}

/// Records the number of cached tokens and the time of the look-up in the history. Look-ups run one
/// at a time, so that the times give their order.
void Engine::recordLookUp(const Generation &generation)
{
    if (generation.historyIndex >= history_.size())
        return;
    const auto now = steady_clock::now().time_since_epoch();
    json::object &entry = history_[generation.historyIndex].as_object();
    entry["cached_tokens"] = generation.cachedTokens;
    entry["looked_up_ms"] = std::chrono::duration<double, std::milli>(now).count();
}

void Engine::streamTokens(Exchange &exchange, const GenerationPtr &generation, std::uint64_t from,
                          const Yield &yield)
{
    std::error_code error;
    exchange.startStream(
            200,
            { { "Content-Type", "text/event-stream" }, { "X-Engine-Life", std::to_string(life_) } },
            yield, error);
    const std::uint64_t silenceEpoch = silenceEpoch_;
    std::uint64_t next = from;
    while (!error && next < generation->maxTokens) {
        if (generation->isCancelled || exchange.peerHasClosed())
            return;
        const std::uint64_t produced = producedTokenEnd(*generation);
        if (silenceEpoch != silenceEpoch_) {
            sleepFor(kSilentStreamPollInterval, yield);
            continue;
        }
        if (next >= produced) {
            waitForToken(*generation, yield);
            continue;
        }
        std::string events;
        for (; next < produced; ++next) {
            const json::object data{ { "index", next },
                                     { "text",
                                       answerToken(generation->prompt, options_.weights, next) } };
            net::appendEvent({ .data = json::serialize(data) }, events);
        }
        exchange.write(events, yield, error);
    }
    std::string finalEvents;
    net::appendEvent(
            { .data = json::serialize(json::object{ { "usage", encodeUsage(*generation) } }) },
            finalEvents);
    net::appendEvent({ .data = "[DONE]" }, finalEvents);
    if (!error)
        exchange.write(finalEvents, yield, error);
    if (!error)
        exchange.finish(yield, error);
}

void Engine::sendWholeAnswer(Exchange &exchange, const GenerationPtr &generation,
                             const Yield &yield)
{
    while (!generation->isCancelled && producedTokenEnd(*generation) < generation->maxTokens)
        waitForToken(*generation, yield);
    if (generation->isCancelled)
        return respond(exchange, 499, json::object{ { "error", "cancelled" } }, yield);
    std::string answer;
    for (std::uint64_t i = generation->firstToken; i < generation->maxTokens; ++i)
        answer += answerToken(generation->prompt, options_.weights, i);
    respond(exchange, 200,
            json::object{ { "text", answer }, { "usage", encodeUsage(*generation) } }, yield);
}

void Engine::attach(Exchange &exchange, const Yield &yield)
{
    const std::string &target = exchange.request().target;
    const auto found = generations_.find(net::queryParameter(target, "request_id").value_or(""));
    if (found == generations_.end())
        return respond(exchange, 404, json::object{ { "error", "no such request" } }, yield);
    const auto from = std::stoull(net::queryParameter(target, "from").value_or("0"));
    const GenerationPtr generation = found->second;
    if (generation->isCancelled)
        return respond(exchange, 404, json::object{ { "error", "cancelled" } }, yield);
    streamTokens(exchange, generation, from, yield);
}

void Engine::cancel(Exchange &exchange, const Yield &yield)
{
    const auto found = generations_.find(text(parseBody(exchange), "request_id"));
    const bool isKnown = found != generations_.end();
    if (isKnown)
        found->second->cancel();
    respond(exchange, 200, json::object{ { "cancelled", isKnown } }, yield);
}

void Engine::changeWeights(Exchange &exchange, const Yield &yield)
{
    const json::object body = parseBody(exchange);
    const std::uint64_t fencingToken = number(body, "fence", 0);
    if (options_.checksFencing && fencingToken < highestFencingToken_) {
        return respond(exchange, 409,
                       json::object{ { "error", "old fence" }, { "fence", highestFencingToken_ } },
                       yield);
    }
    highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    constexpr std::chrono::seconds kLoadTime{ 1 };
    sleepFor(kLoadTime, yield);
    options_.weights = text(body, "weights", options_.weights);
    cache_.clear();
    respond(exchange, 200, json::object{ { "weights", options_.weights } }, yield);
}

/// Responds with the correct answer to a prompt, for tests. Does not simulate or cache anything.
void Engine::sendExpectedAnswer(Exchange &exchange, const Yield &yield)
{
    const json::object body = parseBody(exchange);
    const std::string prompt = text(body, "prompt");
    std::string answer;
    for (std::uint64_t i = 0; i < number(body, "max_tokens", 16); ++i)
        answer += answerToken(prompt, options_.weights, i);
    respond(exchange, 200, json::object{ { "text", answer } }, yield);
}

void Engine::control(Exchange &exchange, const Yield &yield)
{
    const json::object body = parseBody(exchange);
    if (const auto *factor = body.if_contains("slowFactor"))
        faults_.slowFactor = factor->to_number<double>();
    if (const auto *loss = body.if_contains("eventLoss"))
        faults_.lostEventShare = loss->to_number<double>();
    if (body.contains("silence"))
        ++silenceEpoch_;
    if (body.contains("crash"))
        crash();
    respond(exchange, 200, json::object{ { "life", life_ } }, yield);
}

/// Simulates a crash and restart in the same process: cancels every generation, empties the cache
/// and starts a new life.
void Engine::crash()
{
    ++life_;
    for (auto &entry : generations_)
        entry.second->cancel();
    generations_.clear();
    cache_.restart();
}

void Engine::waitForToken(Generation &generation, const Yield &yield)
{
    boost::system::error_code ignored;
    if (generation.isDecoding)
        return sleepFor(timeToNextToken(generation), yield);
    generation.stateChanged.async_wait(yield[ignored]);
}

void Engine::sleepFor(std::chrono::microseconds duration, const Yield &yield)
{
    boost::asio::steady_timer timer(context_, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

std::string Engine::eventsJson(std::uint64_t from) const
{
    json::array events;
    for (const CacheEvent &event : cache_.eventsFrom(from)) {
        const double sample =
                static_cast<double>(base::combineHash(event.number, event.blockHash) >> 11U)
                * 0x1p-53;
        if (sample < faults_.lostEventShare)
            continue;
        events.push_back(json::object{ { "number", event.number },
                                       { "stored", event.isStored },
                                       { "block", base::toHex(event.blockHash) } });
    }
    return json::serialize(json::object{
            { "life", life_ }, { "next", cache_.nextEventNumber() }, { "events", events } });
}

std::string Engine::snapshotJson() const
{
    json::array blocks;
    for (const std::uint64_t blockHash : cache_.blocks())
        blocks.push_back(json::string(base::toHex(blockHash)));
    return json::serialize(json::object{
            { "life", life_ }, { "next", cache_.nextEventNumber() }, { "blocks", blocks } });
}

std::string Engine::identityJson() const
{
    return json::serialize(json::object{
            { "engine", options_.name }, { "life", life_ }, { "weights", options_.weights } });
}

std::string Engine::metricsText() const
{
    std::ostringstream out;
    out << "engine_requests_running " << runningCount_ << '\n'
        << "engine_requests_waiting " << prefillSlot_.waitingCount() + batchSlots_.waitingCount()
        << '\n'
        << "engine_prefill_tokens_queued " << queuedPrefillTokens_ << '\n';
    return out.str();
}

} // namespace chervilfield::standins
