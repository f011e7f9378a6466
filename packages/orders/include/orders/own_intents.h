#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace chervilfield::orders {

/// Progress of an intent of this process life.
enum class IntentProgress {
    Pending,    ///< The attempt that wrote it may still dispatch the order.
    Dispatched, ///< The request was sent to the service or is about to be.
    Closing,    ///< The order was not dispatched and never will be; any attempt may close its row.
};

/// Intents that this process life has tried to write and whose final state the store has not yet
/// confirmed, keyed by the write id of the intent. There is one object per process life. An intent
/// moves to `Dispatched` or, only if nothing was sent, to `Closing`, so that this life never
/// dispatches an order that it has reported as `not-run`. Not thread-safe: guard it with the lock
/// that guards `step`.
class OwnIntents
{
public:
    /// Records an intent before its row is written.
    void add(const std::string &writeId);

    /// Moves a pending intent to `Dispatched` and returns true; returns false for any other intent,
    /// whose order must not be dispatched.
    bool tryClaimDispatch(const std::string &writeId);

    /// Moves an intent to `Closing`: a pending one always, a dispatched one only if
    /// `isProvenNotSent` (no byte of the request left this process). Called for the attempt that
    /// wrote the intent.
    void abandon(const std::string &writeId, bool isProvenNotSent);

    /// Returns true if and only if the order is known not to have been dispatched and never to be.
    /// The order of an intent that is not recorded here may have been dispatched.
    bool canClose(const std::string &writeId) const;

    /// Removes an intent whose row has reached a final state or was never written.
    void remove(const std::string &writeId);

    /// Returns the number of recorded intents.
    std::size_t size() const { return intents_.size(); }

private:
    std::unordered_map<std::string, IntentProgress> intents_;
};

} // namespace chervilfield::orders
