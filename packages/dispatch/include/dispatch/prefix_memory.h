#pragma once

#include "dispatch/target_board.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace chervilfield::dispatch {

/// A run of a target that was sent a prompt, and has probably cached its parts since.
struct Holder
{
    std::string target;
    std::uint64_t startedAt = 0;
    Time sentAt{};
};

/// Where this instance recently sent each prompt prefix, the least recently used one forgotten
/// first. Keys cover the cache scope and the weights, so a holder of older weights is never found.
class PrefixMemory
{
public:
    explicit PrefixMemory(std::size_t capacity = 20'000) : capacity_(capacity) {}

    void record(std::uint64_t prefix, const fleet::Target &target, Time now);

    /// Returns the latest holders of the prefix, latest first; unused places have an empty target.
    std::array<Holder, 2> holders(std::uint64_t prefix) const;

private:
    struct Entry
    {
        std::array<Holder, 2> holders;
        std::list<std::uint64_t>::iterator place;
    };

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::list<std::uint64_t> recent_; ///< Most recently used first.
};

} // namespace chervilfield::dispatch
