#include "flow.h"

#include "base/hash.h"
#include "net/connect_check.h"

#include <utility>

namespace chervilfield::relay {

using base::Result;
using base::WorkStatus;
using std::chrono::milliseconds;

void Relay::Flow::recordBegin()
{
    if (std::exchange(hasBegun_, true) || sharedParts_.empty())
        return;
    const auto cleared = context_.partQuarantine.recordBegin(sharedParts_, Clock::now());
    if (cleared.empty())
        return;
    if (context_.quarantineHooks.innocent)
        context_.quarantineHooks.innocent(cleared);
    relay_.reportQuarantines();
}

void Relay::Flow::recordBreak()
{
    if (!hasBegun_ && !sharedParts_.empty() && checkCrash())
        ++crashes_;
}

bool Relay::Flow::checkCrash()
{
    const quarantine::EngineRun run{ .target = target_->id, .startedAt = target_->startedAt };
    const quarantine::SuspectRequest suspect{ .request = base::hash64(caller_.requestId),
                                              .parts = sharedParts_ };
    // Targets join and leave under new ids, so the map is cleared when it grows too large. A lost
    // entry costs at most another check.
    constexpr std::size_t kMaxChecks = 1024;
    if (relay_.crashChecks_.size() > kMaxChecks)
        relay_.crashChecks_.clear();
    auto &latest = relay_.crashChecks_[run.target];
    const bool isValid =
            latest != nullptr && latest->report.run.startedAt == run.startedAt
            && (latest->hasCrashed.value_or(true)
                || Clock::now() < latest->startedAt + context_.options.runningEngineAge);
    boost::system::error_code ignored;
    if (isValid) {
        const std::shared_ptr<CrashCheck> check = latest;
        if (!check->hasCrashed) {
            check->report.suspects.push_back(suspect);
            check->finished.async_wait(yield_[ignored]);
        } else if (*check->hasCrashed) {
            relay_.recordCrash({ .run = run, .suspects = { suspect } });
        }
        return check->hasCrashed.value_or(false);
    }
    const auto check = std::make_shared<CrashCheck>(CrashCheck{
            .report = { .run = run, .suspects = { suspect } },
            .startedAt = Clock::now(),
            .finished = boost::asio::steady_timer(yield_.get_executor(),
                                                  boost::asio::steady_timer::time_point::max()),
            .hasCrashed = std::nullopt });
    latest = check;
    const net::Address address = target_->address;
    boost::asio::steady_timer timer(yield_.get_executor(), context_.options.breakSpread);
    timer.async_wait(yield_[ignored]);
    check->hasCrashed = net::refusesConnection(address, context_.options.connectTimeout, yield_);
    if (*check->hasCrashed)
        relay_.recordCrash(check->report);
    check->finished.cancel();
    return *check->hasCrashed;
}

std::optional<milliseconds> Relay::Flow::quarantineTime() const
{
    return context_.partQuarantine.remaining(sharedParts_, Clock::now());
}

void Relay::Flow::refuseQuarantined(milliseconds remaining)
{
    logRefusal({ .code = Result::PartQuarantined, .retryAfter = remaining });
    if (mayHaveRun_ || hasResponseStarted_ || targetFailure_)
        return respondAfterFailure(SendOutcome::Unknown);
    respondWithFailure(Result::PartQuarantined, WorkStatus::NotRun, remaining);
}

void Relay::recordCrash(const quarantine::CrashReport &report)
{
    context_.log.write("quarantine", "crash-recorded",
                       { { "target", report.run.target },
                         { "started_at", report.run.startedAt },
                         { "suspects", report.suspects.size() } });
    context_.partQuarantine.recordCrash(report, base::BootClock::now());
    if (context_.quarantineHooks.crashed)
        context_.quarantineHooks.crashed(report);
    reportQuarantines();
}

void Relay::reportQuarantines()
{
    auto &partQuarantine = context_.partQuarantine;
    const auto now = base::BootClock::now();
    for (const quarantine::QuarantineChange &change : partQuarantine.update(now)) {
        context_.log.write("quarantine", change.isQuarantined ? "part-quarantined" : "part-cleared",
                           { { "shared_part", base::toHex(change.part.part) },
                             { "adopted", change.isAdopted },
                             { "crashes", change.crashes },
                             { "remaining_ms", change.part.remaining } });
        if (change.isQuarantined && !change.isAdopted && context_.quarantineHooks.quarantined)
            context_.quarantineHooks.quarantined(change.part);
        if (!change.isQuarantined && context_.quarantineHooks.lifted)
            context_.quarantineHooks.lifted(change.part.part);
    }
    context_.metrics.setQuarantinedParts(partQuarantine.active(now).size());
}

} // namespace chervilfield::relay
