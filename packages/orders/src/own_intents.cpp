#include "orders/own_intents.h"

namespace chervilfield::orders {

void OwnIntents::add(const std::string &writeId)
{
    intents_.emplace(writeId, IntentProgress::Pending);
}

bool OwnIntents::tryClaimDispatch(const std::string &writeId)
{
    const auto found = intents_.find(writeId);
    if (found == intents_.end() || found->second != IntentProgress::Pending)
        return false;
    found->second = IntentProgress::Dispatched;
    return true;
}

void OwnIntents::abandon(const std::string &writeId, bool isProvenNotSent)
{
    const auto found = intents_.find(writeId);
    if (found == intents_.end())
        return;
    if (found->second == IntentProgress::Pending || isProvenNotSent)
        found->second = IntentProgress::Closing;
}

bool OwnIntents::canClose(const std::string &writeId) const
{
    const auto found = intents_.find(writeId);
    return found != intents_.end() && found->second == IntentProgress::Closing;
}

void OwnIntents::remove(const std::string &writeId)
{
    intents_.erase(writeId);
}

} // namespace chervilfield::orders
