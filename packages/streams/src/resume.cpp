#include "streams/resume.h"

#include "base/result.h"

namespace chervilfield::streams {

namespace {

ResumePlan makePoint(const std::string &engine, bool isLive, std::uint64_t from)
{
    if (isLive)
        return { .kind = ResumeKind::Reattach, .engine = engine, .from = from };
    return { .kind = from == 0 ? ResumeKind::Start : ResumeKind::Continue,
             .engine = {},
             .from = from };
}

} // namespace

std::optional<ResumePlan> resumeFromEventId(std::string_view lastEventId,
                                            std::string_view requestId,
                                            const std::optional<std::string> &currentLife,
                                            std::error_code &error)
{
    const std::optional<EventId> id = parseEventId(lastEventId, error);
    if (!id)
        return std::nullopt;
    if (id->requestId != requestId) {
        error = base::Result::InvalidField;
        return std::nullopt;
    }
    return makePoint(id->engine, currentLife == id->life, id->offset + 1);
}

ResumePlan resumeAfterLoss(const StreamAssembler &assembler, std::size_t attempt,
                           const std::optional<std::string> &currentLife)
{
    const StreamAttempt &lost = assembler.attempt(attempt);
    return makePoint(lost.engine, currentLife == lost.life, assembler.resumeOffset());
}

} // namespace chervilfield::streams
