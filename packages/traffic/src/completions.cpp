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

constexpr std::string_view kKind = "completion";
// Prompts from this size on count as long work; a counter's question is far below.
constexpr std::uint32_t kLongPromptTokens = 4 * prefix::kBlockTokens;

// Everything that is known about a completion before the first attempt.
struct Job
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

bool findRoute(Job &job, std::error_code &error)
{
    const auto &configuration = job.scope.table->configuration();
    job.route = configuration.findModelRoute(job.request.model, *job.scope.customer);
    if (job.route == nullptr) {
        error = Result::UnknownModel;
        return false;
    }
    job.targets = &job.scope.table->targetsOf(*job.route);
    if (job.targets->pool == nullptr)
        error = Result::NoTarget;
    return !error;
}

void hashPrompt(Job &job)
{
    const configuration::Pool &pool = *job.targets->pool;
    job.seed = prefix::chainSeed({ .customer = job.scope.customer->name,
                                   .model = pool.model,
                                   .weights = pool.weights,
                                   .adapter = pool.adapter });
    job.chain = prefix::blockChain(job.request.prompt, job.seed);
}

// Reads where a caller wants to continue. The event belongs to the request id that it names.
bool readResumePoint(Job &job, std::error_code &error)
{
    const auto id = streams::parseEventId(job.scope.context.lastEventId, error);
    if (!id.has_value())
        return false;
    ResumePoint point{ .offset = id->offset + 1 };
    const bool valid = base::parseHex(id->engine, point.engine)
                       && base::parseDecimal(id->life, point.life)
                       && id->offset < job.request.maxTokens && http::isRequestId(id->requestId);
    if (!valid) {
        error = Result::InvalidField;
        return false;
    }
    job.scope.requestId = id->requestId;
    job.resumePoint = point;
    return true;
}

std::optional<Job> prepare(const Services &services, http::CompletionKind kind,
                           const net::Request &request, std::string &requestId, std::string &detail,
                           std::error_code &error)
{
    Job job{ .scope = openScope(services, request, error) };
    requestId = job.scope.requestId;
    if (error)
        return std::nullopt;
    auto parsed = http::parseCompletion(kind, request.body, detail, error);
    if (!parsed.has_value())
        return std::nullopt;
    job.request = std::move(*parsed);
    if (!findRoute(job, error))
        return std::nullopt;
    if (!job.scope.context.lastEventId.empty() && !readResumePoint(job, error)) {
        detail = "Last-Event-ID: expected the id of an event of this request";
        return std::nullopt;
    }
    requestId = job.scope.requestId;
    hashPrompt(job);
    return job;
}

routing::Request routingRequest(const Job &job)
{
    const std::uint32_t tokens = prefix::estimateTokens(job.request.prompt.size());
    routing::Request request{ .chain = job.chain,
                              .promptTokens = tokens,
                              .outputTokens = static_cast<std::uint32_t>(job.request.maxTokens) };
    if (tokens >= kLongPromptTokens)
        request.workClass = routing::WorkClass::Long;
    const bool batchByIntent =
            job.route->intent->trafficClass == configuration::TrafficClass::Batch;
    const auto priority = job.scope.context.priority;
    const bool batch =
            priority.has_value() ? *priority == http::RequestPriority::Batch : batchByIntent;
    if (batch || (!priority.has_value() && request.workClass == routing::WorkClass::Long))
        request.priority = routing::Priority::Batch;
    const auto deadline = job.scope.context.deadline.value_or(job.route->intent->deadline);
    if (deadline.count() > 0)
        request.deadline = deadline;
    return request;
}

targets::CompletionCall engineCall(const Job &job, routing::Priority priority)
{
    const std::string content = job.request.prompt + std::to_string(job.request.maxTokens);
    return { .requestId = streams::engineRequestId(job.scope.customer->name, job.scope.requestId,
                                                   content),
             .prompt = job.request.prompt,
             .maxTokens = job.request.maxTokens,
             .priority = static_cast<int>(priority),
             .cacheSalt = base::toHex(job.seed) };
}

http::AnswerHead answerHead(const Job &job)
{
    return { .kind = job.request.kind,
             .requestId = job.scope.requestId,
             .model = job.request.model,
             .created =
                     std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()) };
}

http::AnswerUsage answerUsage(const Job &job, const ResilientStream &stream)
{
    const targets::Usage usage = stream.usage().value_or(targets::Usage());
    return { .promptTokens = usage.promptTokens,
             .cachedTokens = usage.cachedTokens,
             .completionTokens = job.request.maxTokens };
}

void recordEnd(const Services &services, const Job &job, const ResilientStream &stream)
{
    const http::AnswerUsage usage = answerUsage(job, stream);
    services.metrics.countPrompt(usage.promptTokens, usage.cachedTokens);
    services.metrics.countRequest(std::string(kKind), Result::Ok);
}

void recordFirstToken(const Services &services, const Job &job, routing::WorkClass workClass)
{
    services.metrics.observeFirstToken(workClass == routing::WorkClass::Long ? "long" : "short",
                                       steady_clock::now() - job.start);
}

// Sends an answer as server-sent events while it is generated.
class EventWriter
{
public:
    EventWriter(net::Exchange &exchange, const Job &job)
        : exchange_(exchange), job_(job), head_(answerHead(job))
    {
    }

    bool started() const { return started_; }

    void add(const streams::Token &token, const ResilientStream &stream)
    {
        const std::string id = streams::formatEventId({ .requestId = job_.scope.requestId,
                                                        .engine = base::toHex(stream.engine()),
                                                        .life = std::to_string(stream.life()),
                                                        .offset = token.offset });
        net::appendEvent({ .id = id, .data = http::answerChunk(head_, token.text) }, pending_);
    }

    void flush(const yield_context &yield, std::error_code &error)
    {
        if (!std::exchange(started_, true)) {
            exchange_.startStream(200,
                                  { { "Content-Type", "text/event-stream" },
                                    { "Cache-Control", "no-store" },
                                    { "X-Request-Id", job_.scope.requestId } },
                                  yield, error);
        }
        if (!error)
            exchange_.write(pending_, yield, error);
        pending_.clear();
    }

    void finish(const http::AnswerUsage &usage, const yield_context &yield, std::error_code &error)
    {
        net::appendEvent({ .data = http::finalChunk(head_, usage) }, pending_);
        net::appendEvent({ .data = "[DONE]" }, pending_);
        flush(yield, error);
        if (!error)
            exchange_.finish(yield, error);
    }

    // Ends a stream that is not whole; the connection closes without the terminating chunk.
    void fail(const std::error_code &cause, const yield_context &yield)
    {
        const http::ErrorReport report{ .code = base::toResult(cause),
                                        .work = WorkStatus::Unknown,
                                        .requestId = job_.scope.requestId };
        net::appendEvent({ .type = "error", .data = http::errorBody(report) }, pending_);
        std::error_code ignored;
        flush(yield, ignored);
    }

private:
    net::Exchange &exchange_;
    const Job &job_;
    http::AnswerHead head_;
    std::string pending_;
    bool started_ = false;
};

void sendEvents(const TrafficThread &thread, const Job &job, routing::WorkClass workClass,
                ResilientStream &stream, net::Exchange &exchange, const yield_context &yield)
{
    EventWriter writer(exchange, job);
    std::error_code error;
    std::error_code writeError;
    while (auto token = stream.next(yield, error)) {
        if (!writer.started())
            recordFirstToken(thread.services, job, workClass);
        thread.services.metrics.countTokens(1);
        writer.add(*token, stream);
        if (stream.hasBuffered())
            continue;
        writer.flush(yield, writeError);
        if (writeError) {
            LOG(INFO) << "[traffic] Request " << job.scope.requestId << " lost its caller.";
            return stream.cancel();
        }
    }
    if (!error) {
        writer.finish(answerUsage(job, stream), yield, writeError);
        return recordEnd(thread.services, job, stream);
    }
    if (writer.started()) {
        thread.services.metrics.countRequest(std::string(kKind), base::toResult(error));
        return writer.fail(error, yield);
    }
    refuse(exchange, thread.services, kKind, job.scope.requestId, error, WorkStatus::NotRun, {},
           yield);
}

void sendWhole(const TrafficThread &thread, const Job &job, routing::WorkClass workClass,
               ResilientStream &stream, net::Exchange &exchange, const yield_context &yield)
{
    std::string answer;
    std::error_code error;
    while (auto token = stream.next(yield, error)) {
        if (answer.empty())
            recordFirstToken(thread.services, job, workClass);
        answer += token->text;
    }
    if (error) {
        return refuse(exchange, thread.services, kKind, job.scope.requestId, error,
                      answer.empty() ? WorkStatus::NotRun : WorkStatus::Unknown, {}, yield);
    }
    net::Response response = net::jsonResponse(
            200, http::wholeAnswer(answerHead(job), answer, answerUsage(job, stream)));
    response.headers.push_back({ "X-Request-Id", job.scope.requestId });
    exchange.respond(response, yield, error);
    recordEnd(thread.services, job, stream);
}

} // namespace

void serveCompletion(const TrafficThread &thread, http::CompletionKind kind,
                     net::Exchange &exchange, const yield_context &yield)
{
    std::string requestId;
    std::string detail;
    std::error_code error;
    const auto job = prepare(thread.services, kind, exchange.request(), requestId, detail, error);
    if (!job.has_value()) {
        return refuse(exchange, thread.services, kKind, requestId, error, WorkStatus::NotRun,
                      detail, yield);
    }
    const routing::Request request = routingRequest(*job);
    ResilientStream stream(thread, *job->targets, engineCall(*job, request.priority), request);
    if (job->resumePoint.has_value())
        stream.resumeFrom(*job->resumePoint, yield);
    thread.services.metrics.streamOpened();
    if (job->request.stream)
        sendEvents(thread, *job, request.workClass, stream, exchange, yield);
    else
        sendWhole(thread, *job, request.workClass, stream, exchange, yield);
    thread.services.metrics.streamClosed();
}

} // namespace chervilfield::traffic
