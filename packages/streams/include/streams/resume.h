#pragma once

#include "streams/event_id.h"
#include "streams/stream_assembler.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::streams {

/// How the next attempt of a request obtains its tokens.
enum class ResumeKind {
    Start,    ///< Sends the request as a new one.
    Reattach, ///< `GET /v1/stream?request_id=&from=` at the engine that runs the request.
    Continue, ///< `POST /v1/completions` with `resume_from` at any engine with the same weights.
};

/// Plan for the next attempt of a request.
struct ResumePlan
{
    ResumeKind kind = ResumeKind::Start;
    std::string engine;           ///< Engine to reattach to; set for `Reattach` only.
    std::uint64_t fromOffset = 0; ///< First offset that the attempt must produce.

    bool operator==(const ResumePlan &) const = default;
};

/// Returns how to serve a caller that repeats its request with `Last-Event-ID`, for example after
/// the daemon that served it has crashed. `currentLife` is the current life of the engine named in
/// the id, absent if that engine is down. Errors: `InvalidField` if the id is malformed or names
/// another request than `requestId`.
std::optional<ResumePlan> resumeFromEventId(std::string_view lastEventId,
                                            std::string_view requestId,
                                            const std::optional<std::string> &currentLife,
                                            std::error_code &error);

/// Returns how to continue a stream whose attempt `attempt` has stopped. `currentLife` is the
/// current life of its engine, absent if the engine is down. A silent connection is reattached to
/// the engine while its life lasts; once the engine has crashed or restarted, the answer is
/// continued at another one.
ResumePlan resumeAfterLoss(const StreamAssembler &assembler, std::size_t attempt,
                           const std::optional<std::string> &currentLife);

} // namespace chervilfield::streams
