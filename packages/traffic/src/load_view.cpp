#include "traffic/load_view.h"

namespace chervilfield::traffic {

TargetWork toTargetWork(const routing::DigestEntry &entry)
{
    TargetWork result{ .target = entry.target };
    for (std::size_t i = 0; i < routing::kClasses; ++i) {
        result.classes[i].prefillTokens = static_cast<std::uint32_t>(entry.work.waitingTokens[i]);
        result.classes[i].requests = entry.work.waiting[i] + entry.work.running[i];
    }
    return result;
}

routing::DigestEntry toDigestEntry(const TargetWork &work)
{
    routing::DigestEntry entry{ .target = work.target };
    for (std::size_t i = 0; i < routing::kClasses; ++i) {
        entry.work.waitingTokens[i] = work.classes[i].prefillTokens;
        entry.work.running[i] = work.classes[i].requests;
    }
    return entry;
}

} // namespace chervilfield::traffic
