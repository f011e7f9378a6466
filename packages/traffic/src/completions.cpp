#include "traffic/completions.h"

#include "base/hash.h"
#include "base/numbers.h"
#include "base/result.h"
#include "http/completion_answer.h"
#include "http/error_response.h"
#include "net/event_stream.h"
#include "prefix/chain.h"
#include "streams/event_id.h"
#include "traffic/request_scope.h"
#include "traffic/resilient_stream.h"

#include <glog/logging.h>

#include <utility>

namespace chervilfield::traffic {

using base::Result;
using base::WorkStatus;
using boost::asio::yield_context;
using std::chrono::steady_clock;

namespace {

// Label `kind` of the request counter.
constexpr std::string_view kRequestKind = "completion";
// Prompts of at least this size count as long work; typical interactive questions are far shorter.
constexpr std::uint32_t kLongPromptThresholdTokens = 4 * prefix::kBlockTokens;

// State of a completion request before its first attempt.
struct PreparedCompletion
{
    RequestScope scope;
    http::CompletionRequest request;
    const configuration::Route *route = nullptr;
    const RouteTargets *targets = nullptr;
    std::vector<std::uint64_t> chain;
    std::uint64_t seed = 0;
    std::optional<ResumePoint> resumePoint;
    steady_clock::time_point start = steady_clock::now();
};

bool findRoute(PreparedCompletion &completion, std::error_code &error)
{
    const auto &configuration = completion.scope.table->configuration();
    completion.route =
            configuration.findModelRoute(completion.request.model, *completion.scope.customer);
    if (completion.route == nullptr) {
        error = Result::UnknownModel;
        return false;
    }
    completion.targets = &completion.scope.table->targetsOf(*completion.route);
    if (completion.targets->pool == nullptr)
        error = Result::NoTarget;
    return !error;
}

void hashPrompt(PreparedCompletion &completion)
{
    const configuration::Pool &pool = *completion.targets->pool;
    completion.seed = prefix::chainSeed({ .customer = completion.scope.customer->name,
                                          .model = pool.model,
                                          .weights = pool.weights,
                                          .adapter = pool.adapter });
    completion.chain = prefix::blockChain(completion.request.prompt, completion.seed);
}

// Reads the position at which the caller resumes. The request continues under the id in
// Last-Event-ID.
bool readResumePoint(PreparedCompletion &completion, std::error_code &error)
{
    const auto id = streams::parseEventId(completion.scope.context.lastEventId, error);
    if (!id.has_value())
        return false;
    ResumePoint point{ .offset = id->offset + 1 };
    const bool isValid =
            base::parseHex(id->engine, point.engine) && base::parseDecimal(id->life, point.life)
            && id->offset < completion.request.maxTokens && http::isRequestId(id->requestId);
    if (!isValid) {
        error = Result::InvalidField;
        return false;
    }
    completion.scope.requestId = id->requestId;
    completion.resumePoint = point;
    return true;
}

std::optional<PreparedCompletion> prepare(const Services &services, http::CompletionKind kind,
                                          const net::Request &request, std::string &requestId,
                                          std::string &detail, std::error_code &error)
{
    PreparedCompletion completion{ .scope = openScope(services, request, error) };
    requestId = completion.scope.requestId;
    if (error)
        return std::nullopt;
    auto parsed = http::parseCompletion(kind, request.body, detail, error);
    if (!parsed.has_value())
        return std::nullopt;
    completion.request = std::move(*parsed);
    if (!findRoute(completion, error))
        return std::nullopt;
    if (!completion.scope.context.lastEventId.empty() && !readResumePoint(completion, error)) {
        detail = "Last-Event-ID: expected the id of an event of this request";
        return std::nullopt;
    }
    requestId = completion.scope.requestId;
    hashPrompt(completion);
    return completion;
}

routing::Request routingRequest(const PreparedCompletion &completion)
{
    const std::uint32_t tokens = prefix::estimateTokens(completion.request.prompt.size());
    routing::Request request{ .chain = completion.chain,
                              .promptTokens = tokens,
                              .outputTokens =
                                      static_cast<std::uint32_t>(completion.request.maxTokens) };
    if (tokens >= kLongPromptThresholdTokens)
        request.workClass = routing::WorkClass::Long;
    const bool isBatchByIntent =
            completion.route->intent->trafficClass == configuration::TrafficClass::Batch;
    const auto priority = completion.scope.context.priority;
    const bool isBatch =
            priority.has_value() ? *priority == http::RequestPriority::Batch : isBatchByIntent;
    if (isBatch || (!priority.has_value() && request.workClass == routing::WorkClass::Long))
        request.priority = routing::Priority::Batch;
    const auto deadline =
            completion.scope.context.timeLeft.value_or(completion.route->intent->firstTokenTimeout);
    if (deadline.count() > 0)
        request.timeLeft = deadline;
    return request;
}

targets::CompletionCall engineCall(const PreparedCompletion &completion, routing::Priority priority)
{
    const std::string content =
            completion.request.prompt + std::to_string(completion.request.maxTokens);
    return { .requestId = streams::engineRequestId(completion.scope.customer->name,
                                                   completion.scope.requestId, content),
             .prompt = completion.request.prompt,
             .maxTokens = completion.request.maxTokens,
             .priority = static_cast<int>(priority),
             .cacheSalt = base::toHex(completion.seed) };
}

http::AnswerMetadata answerHead(const PreparedCompletion &completion)
{
    return { .kind = completion.request.kind,
             .requestId = completion.scope.requestId,
             .model = completion.request.model,
             .created =
                     std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()) };
}

http::TokenUsage answerUsage(const PreparedCompletion &completion, const ResilientStream &stream)
{
    const targets::Usage usage = stream.usage().value_or(targets::Usage());
    return { .promptTokens = usage.promptTokens,
             .cachedTokens = usage.cachedTokens,
             .completionTokens = completion.request.maxTokens };
}

void recordEnd(const Services &services, const PreparedCompletion &completion,
               const ResilientStream &stream)
{
    const http::TokenUsage usage = answerUsage(completion, stream);
    services.metrics.countPromptTokens(usage.promptTokens, usage.cachedTokens);
    services.metrics.countRequest(std::string(kRequestKind), Result::Ok);
}

void recordFirstToken(const Services &services, const PreparedCompletion &completion,
                      routing::WorkClass workClass)
{
    services.metrics.observeTimeToFirstToken(workClass == routing::WorkClass::Long ? "long"
                                                                                   : "short",
                                             steady_clock::now() - completion.start);
}

// Sends an answer as server-sent events while it is generated.
class EventWriter
{
public:
    EventWriter(net::Exchange &exchange, const PreparedCompletion &completion)
        : exchange_(exchange), completion_(completion), head_(answerHead(completion))
    {
    }

    bool isStarted() const { return isStarted_; }

    void add(const streams::Token &token, const ResilientStream &stream)
    {
        const std::string id = streams::formatEventId({ .requestId = completion_.scope.requestId,
                                                        .engine = base::toHex(stream.engine()),
                                                        .life = std::to_string(stream.life()),
                                                        .offset = token.offset });
        net::appendEvent({ .id = id, .data = http::answerChunk(head_, token.text) }, pending_);
    }

    void flush(const yield_context &yield, std::error_code &error)
    {
        if (!std::exchange(isStarted_, true)) {
            exchange_.startStream(200,
                                  { { "Content-Type", "text/event-stream" },
                                    { "Cache-Control", "no-store" },
                                    { "X-Request-Id", completion_.scope.requestId } },
                                  yield, error);
        }
        if (!error)
            exchange_.write(pending_, yield, error);
        pending_.clear();
    }

    void finish(const http::TokenUsage &usage, const yield_context &yield, std::error_code &error)
    {
        net::appendEvent({ .data = http::finalChunk(head_, usage) }, pending_);
        net::appendEvent({ .data = "[DONE]" }, pending_);
        flush(yield, error);
        if (!error)
            exchange_.finish(yield, error);
    }

    // Ends an incomplete stream with an error event; the connection closes without the terminating
    // chunk.
    void fail(const std::error_code &cause, const yield_context &yield)
    {
        const http::ErrorReport report{ .code = base::toResult(cause),
                                        .work = WorkStatus::Unknown,
                                        .requestId = completion_.scope.requestId };
        net::appendEvent({ .type = "error", .data = http::errorBody(report) }, pending_);
        std::error_code ignored;
        flush(yield, ignored);
    }

private:
    net::Exchange &exchange_;
    const PreparedCompletion &completion_;
    http::AnswerMetadata head_;
    std::string pending_;
    bool isStarted_ = false;
};

void sendEvents(const TrafficThread &thread, const PreparedCompletion &completion,
                routing::WorkClass workClass, ResilientStream &stream, net::Exchange &exchange,
                const yield_context &yield)
{
    EventWriter writer(exchange, completion);
    std::error_code error;
    std::error_code writeError;
    while (auto token = stream.next(yield, error)) {
        if (!writer.isStarted())
            recordFirstToken(thread.services, completion, workClass);
        thread.services.metrics.countGeneratedTokens(1);
        writer.add(*token, stream);
        if (stream.hasBufferedToken())
            continue;
        writer.flush(yield, writeError);
        if (writeError) {
            LOG(INFO) << "[traffic] Request " << completion.scope.requestId
                      << " cancelled: the caller disconnected.";
            return stream.cancel();
        }
    }
    if (!error) {
        writer.finish(answerUsage(completion, stream), yield, writeError);
        return recordEnd(thread.services, completion, stream);
    }
    if (writer.isStarted()) {
        thread.services.metrics.countRequest(std::string(kRequestKind), base::toResult(error));
        return writer.fail(error, yield);
    }
    refuse(exchange, thread.services, kRequestKind, completion.scope.requestId, error,
           WorkStatus::NotRun, {}, yield);
}

void sendWhole(const TrafficThread &thread, const PreparedCompletion &completion,
               routing::WorkClass workClass, ResilientStream &stream, net::Exchange &exchange,
               const yield_context &yield)
{
    std::string answer;
    std::error_code error;
    while (auto token = stream.next(yield, error)) {
        if (answer.empty())
            recordFirstToken(thread.services, completion, workClass);
        answer += token->text;
    }
    if (error) {
        return refuse(exchange, thread.services, kRequestKind, completion.scope.requestId, error,
                      answer.empty() ? WorkStatus::NotRun : WorkStatus::Unknown, {}, yield);
    }
    net::Response response = net::jsonResponse(
            200, http::answerBody(answerHead(completion), answer, answerUsage(completion, stream)));
    response.headers.push_back({ "X-Request-Id", completion.scope.requestId });
    exchange.respond(response, yield, error);
    recordEnd(thread.services, completion, stream);
}

} // namespace

void serveCompletion(const TrafficThread &thread, http::CompletionKind kind,
                     net::Exchange &exchange, const yield_context &yield)
{
    std::string requestId;
    std::string detail;
    std::error_code error;
    const auto completion =
            prepare(thread.services, kind, exchange.request(), requestId, detail, error);
    if (!completion.has_value()) {
        return refuse(exchange, thread.services, kRequestKind, requestId, error, WorkStatus::NotRun,
                      detail, yield);
    }
    const routing::Request request = routingRequest(*completion);
    ResilientStream stream(thread, *completion->targets, engineCall(*completion, request.priority),
                           request);
    if (completion->resumePoint.has_value())
        stream.resumeFrom(*completion->resumePoint, yield);
    thread.services.metrics.streamOpened();
    if (completion->request.stream)
        sendEvents(thread, *completion, request.workClass, stream, exchange, yield);
    else
        sendWhole(thread, *completion, request.workClass, stream, exchange, yield);
    thread.services.metrics.streamClosed();
}

} // namespace chervilfield::traffic
