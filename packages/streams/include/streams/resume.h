#pragma once

#include "streams/event_id.h"
#include "streams/relay.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::streams {

/// How the next attempt of a request gets its tokens.
enum class ResumeKind {
    Start,    ///< New request.
    Reattach, ///< `GET /v1/stream?request_id=&from=` at the engine that runs the request.
    Continue, ///< `POST /v1/completions` with `resume_from` at any engine with the same weights.
};

/// The next attempt of a request.
struct ResumePlan
{
    ResumeKind kind = ResumeKind::Start;
    std::string engine;     ///< For `Reattach`: the engine to ask.
    std::uint64_t from = 0; ///< First offset that the attempt must produce.

    bool operator==(const ResumePlan &) const = default;
};

/// Returns how to serve a caller that repeats its request with `Last-Event-ID`, for example after
/// the death of the daemon that served it. `currentLife` is the present life of the engine named in
/// the id, absent if that engine is gone. Errors: `InvalidField` if the id is malformed or names
/// another request than `requestId`.
std::optional<ResumePlan> resumeFromEventId(std::string_view lastEventId,
                                            std::string_view requestId,
                                            const std::optional<std::string> &currentLife,
                                            std::error_code &error);

/// Returns how to continue a stream whose attempt `attempt` has stopped. `currentLife` is the
/// present life of its engine, absent if the engine is gone. A connection that went silent is
/// reattached while the engine life goes on; after the engine's death the answer is continued
/// elsewhere.
ResumePlan resumeAfterLoss(const StreamAssembler &assembler, std::size_t attempt,
                           const std::optional<std::string> &currentLife);

} // namespace chervilfield::streams
