#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace chervilfield::orders {

/// How far an intent of this process life has come.
enum class IntentProgress {
    Pending,    ///< The attempt that wrote it may still dispatch.
    Dispatched, ///< The request was, or is about to be, sent to the service.
    Closing,    ///< It was not dispatched and can no longer be; any attempt may close its row.
};

/// The intents that this process life has tried to write and whose final state is not yet confirmed
/// by the store, by the write id of the intent. One instance per process life. An intent moves to
/// `Dispatched` or to `Closing`, never to both, so that an order which this life reports as
/// `not-run` is never dispatched by it. Not thread-safe: guard it with the lock that guards `step`.
class OwnIntents
{
public:
    /// Records an intent before its row is written.
    void add(const std::string &writeId);

    /// Returns true if and only if the intent may be dispatched; it is then `Dispatched`.
    bool tryClaimDispatch(const std::string &writeId);

    /// Moves an intent to `Closing` for the attempt that wrote it: a pending one, or a dispatched
    /// one if `provenNotSent` (no byte of the request left this process).
    void abandon(const std::string &writeId, bool provenNotSent);

    /// Returns true if and only if the intent is known never to be dispatched. An intent that is
    /// not recorded here may have been.
    bool canClose(const std::string &writeId) const;

    /// Forgets an intent whose row has reached a final state or was never written.
    void remove(const std::string &writeId);

    std::size_t size() const { return intents_.size(); }

private:
    std::unordered_map<std::string, IntentProgress> intents_;
};

} // namespace chervilfield::orders
