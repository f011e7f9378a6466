#pragma once

#include "dispatch/target_tracker.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace chervilfield::dispatch {

/// One run of a target that was sent a prefix and caches it after prefill.
struct Holder
{
    std::uint64_t target = 0;    ///< Hash of the target's id; 0 marks an unused entry.
    std::uint64_t startedAt = 0; ///< Start of the run, in Unix milliseconds.
    Time readyAt{};              ///< When the target is expected to have cached the prefix.
    Time usedAt{};               ///< When the prefix was last sent to the target.
};

/// Announcement to other instances that a target was sent a prefix that it did not cache before.
struct PrefixHint
{
    std::uint64_t prefix = 0;    ///< Value of `prefixHash`.
    std::uint64_t target = 0;    ///< Hash of the target's id.
    std::uint64_t startedAt = 0; ///< Start of the target's run, in Unix milliseconds.
};

/// LRU map from prompt prefixes to the targets that they were recently sent to. The prefix hashes
/// include the cache scope and the weights version, so a lookup never returns a holder that
/// computed the prefix with older weights.
class PrefixMemory
{
public:
    static constexpr std::size_t kMaxHolders = 3;    ///< Per prefix.
    using Holders = std::array<Holder, kMaxHolders>; ///< Most recently used first.

    /// `capacity` is the maximum number of prefixes.
    explicit PrefixMemory(std::size_t capacity = 20'000) : capacity_(capacity) {}

    /// Records a use of the prefix at the holder. Returns true if the holder is new for the prefix.
    bool record(std::uint64_t prefix, const Holder &holder);

    /// Returns the most recent holders of the prefix; unused entries have target 0.
    Holders holders(std::uint64_t prefix) const;

private:
    struct Entry
    {
        Holders holders;
        std::list<std::uint64_t>::iterator position;
    };

    /// Returns the entry of the prefix as the most recently used one, and adds it if it is missing.
    Entry &touch(std::uint64_t prefix);

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::list<std::uint64_t> recent_; ///< Most recently used first.
};

} // namespace chervilfield::dispatch
