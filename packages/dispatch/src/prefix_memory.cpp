#include "dispatch/prefix_memory.h"

#include <utility>

namespace chervilfield::dispatch {

void PrefixMemory::record(std::uint64_t prefix, const fleet::Target &target, Time now)
{
    const auto [found, isNew] = entries_.try_emplace(prefix);
    Entry &entry = found->second;
    if (isNew) {
        recent_.push_front(prefix);
        entry.place = recent_.begin();
    } else {
        recent_.splice(recent_.begin(), recent_, entry.place);
    }
    if (entry.holders[0].target != target.id)
        entry.holders[1] = std::move(entry.holders[0]);
    entry.holders[0] = { .target = target.id, .startedAt = target.startedAt, .sentAt = now };
    if (entries_.size() > capacity_) {
        entries_.erase(recent_.back());
        recent_.pop_back();
    }
}

std::array<Holder, 2> PrefixMemory::holders(std::uint64_t prefix) const
{
    const auto found = entries_.find(prefix);
    return found == entries_.end() ? std::array<Holder, 2>{} : found->second.holders;
}

} // namespace chervilfield::dispatch
