#include "flow.h"

#include "base/hash.h"

namespace chervilfield::relay {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

std::string_view toString(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Answered:
        return "answered";
    case SendOutcome::NotSent:
        return "not-sent";
    case SendOutcome::NotRun:
        return "not-run";
    case SendOutcome::Unknown:
        return "unknown";
    case SendOutcome::Failed:
        return "failed";
    case SendOutcome::Cancelled:
        break;
    }
    return "cancelled";
}

milliseconds elapsedSince(base::BootClock::time_point start, base::BootClock::time_point end)
{
    return duration_cast<milliseconds>(end - start);
}

} // namespace

void Relay::Flow::logRefusal(const dispatch::Refusal &refusal)
{
    context_.log.write("relay", "refused",
                       { { "request", caller_.requestId },
                         { "pool", pool_ },
                         { "ready_targets", attemptState_.view->readyTargets(pool_).size() },
                         { "tried", excludedTargets_.size() },
                         { "prompt_tokens", caller_.promptTokens },
                         { "left_ms", timeLeft() },
                         { "waited_ms", elapsed() },
                         { "view", attemptState_.view->storeVersion() },
                         { "retry_after_ms", refusal.retryAfter },
                         { "result", base::resultInfo(refusal.code).name } });
}

void Relay::Flow::logUsageRefusal(const usage::UsageRefusal &refusal, double cost)
{
    context_.log.write("relay", "refused",
                       { { "request", caller_.requestId },
                         { "customer", customer_->name },
                         { "cost", cost },
                         { "balance", refusal.balance },
                         { "retry_after_ms", refusal.retryAfter },
                         { "result", base::resultInfo(base::Result::UsageLimitReached).name } });
}

void Relay::Flow::logDrainRefusal(milliseconds timeout)
{
    const auto exitIn =
            duration_cast<milliseconds>(admissionState_.drainSchedule->exitAt - startedAt_);
    context_.log.write("relay", "refused",
                       { { "request", caller_.requestId },
                         { "left_ms", timeout },
                         { "exit_in_ms", exitIn },
                         { "retry_after_ms", context_.options.drainRetryAfter },
                         { "result", base::resultInfo(base::Result::ShuttingDown).name } });
}

void Relay::Flow::logSend(const dispatch::Placement &placement, SendOutcome outcome)
{
    const fleet::View &view = *attemptState_.view;
    const auto replacedAt = view.replacedAt(caller_.model, placement.weights);
    context_.log.write(
            "relay", "sent",
            { { "request", caller_.requestId },
              { "attempt", excludedTargets_.size() },
              { "target", target_->id },
              { "weights", placement.weights },
              { "expected_ms", placement.expectedTime },
              { "pool", pool_ },
              { "waited_ms", sentAt_ - startedAt_ },
              { "prompt_tokens", caller_.promptTokens },
              { "output_tokens", caller_.maxOutputTokens },
              { "uncached_tokens", placement.uncachedTokens },
              { "fetch", placement.cacheSource.has_value() },
              { "queued_tokens", choiceLoad_.queuedTokens },
              { "in_flight", choiceLoad_.inFlight },
              { "load", choiceLoad_.requests },
              { "load_age_ms", choiceLoad_.reportAge },
              { "rate_limit", choiceLoad_.rateLimit },
              { "delay_ms", placement.sendDelay },
              { "view", view.storeVersion() },
              { "view_age_ms", attemptState_.confirmedAge },
              { "desired", view.desiredWeights(caller_.model) },
              { "replaced_ms", replacedAt && !caller_.model.empty()
                                       ? elapsedSince(*replacedAt, sentAt_)
                                       : milliseconds(-1) },
              { "limit_ms", placement.timeLimit.value_or(milliseconds(-1)) },
              { "outcome", toString(outcome) },
              { "result", base::resultInfo(result_).name },
              { "first_ms", firstEventAt_ ? duration_cast<milliseconds>(*firstEventAt_ - sentAt_)
                                          : milliseconds(-1) },
              { "took_ms", Clock::now() - sentAt_ } });
}

void Relay::Flow::logBreak()
{
    std::string parts;
    for (const std::uint64_t key : sharedParts_)
        parts += (parts.empty() ? "" : ",") + base::toHex(key);
    context_.log.write("relay", "engine-broke",
                       { { "request", caller_.requestId },
                         { "target", target_->id },
                         { "started_at", target_->startedAt },
                         { "head", hasTargetResponded_ },
                         { "first_event", firstEventAt_.has_value() },
                         { "result", base::resultInfo(result_).name },
                         { "took_ms", Clock::now() - sentAt_ },
                         { "shared_parts", parts } });
}

void Relay::Flow::logAnswer()
{
    const bool isConfigurationKnown = admissionState_.view && admissionState_.view->isComplete();
    context_.log.write(
            "relay", "answered",
            { { "request", caller_.requestId },
              { "route", route_ == nullptr ? std::string() : route_->name },
              { "customer", customer_ == nullptr ? std::string() : customer_->name },
              { "configuration",
                isConfigurationKnown ? admissionState_.view->configuration().version : 0 },
              { "fresh", admissionState_.isFresh },
              { "sends", excludedTargets_.size() },
              { "complete", isResponseComplete_ },
              { "result", base::resultInfo(result_).name },
              { "took_ms", elapsed() } });
}

} // namespace chervilfield::relay
