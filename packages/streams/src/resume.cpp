#include "streams/resume.h"

#include "base/result.h"

namespace chervilfield::streams {

namespace {

ResumePlan makePlan(const std::string &engine, bool isSameLife, std::uint64_t fromOffset)
{
    if (isSameLife)
        return { .kind = ResumeKind::Reattach, .engine = engine, .fromOffset = fromOffset };
    return { .kind = fromOffset == 0 ? ResumeKind::Start : ResumeKind::Continue,
             .engine = {},
             .fromOffset = fromOffset };
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
    return makePlan(id->engine, currentLife == id->life, id->offset + 1);
}

ResumePlan resumeAfterLoss(const StreamAssembler &assembler, std::size_t attempt,
                           const std::optional<std::string> &currentLife)
{
    const StreamAttempt &lost = assembler.attempt(attempt);
    return makePlan(lost.engine, currentLife == lost.life, assembler.resumeOffset());
}

} // namespace chervilfield::streams
