#pragma once

#include "dispatch/target_board.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace chervilfield::dispatch {

/// A run of a target that was sent a prefix and caches it once it has read it.
struct Holder
{
    std::uint64_t target = 0; ///< Hash of the target's id; 0 marks an unused place.
    std::uint64_t startedAt = 0;
    Time readyAt{}; ///< When the target is expected to have read the prefix.
    Time usedAt{};
};

/// A prefix that an instance sent to a target that did not have it, as instances exchange it.
struct PrefixHint
{
    std::uint64_t prefix = 0;
    std::uint64_t target = 0;
    std::uint64_t startedAt = 0;
};

/// Where each prompt prefix was sent lately, the least recently used one forgotten first. Keys
/// cover the cache scope and the weights, so a holder of older weights is never found.
class PrefixMemory
{
public:
    static constexpr std::size_t kMaxHolders = 3;
    using Holders = std::array<Holder, kMaxHolders>; ///< Most recently used first.

    explicit PrefixMemory(std::size_t capacity = 20'000) : capacity_(capacity) {}

    /// Records a use of the prefix at the holder. Returns true if it was not known to hold it.
    bool record(std::uint64_t prefix, const Holder &holder);

    /// Returns the latest holders of the prefix.
    Holders holders(std::uint64_t prefix) const;

private:
    struct Entry
    {
        Holders holders;
        std::list<std::uint64_t>::iterator place;
    };

    Entry &touch(std::uint64_t prefix);

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::list<std::uint64_t> recent_; ///< Most recently used first.
};

} // namespace chervilfield::dispatch
