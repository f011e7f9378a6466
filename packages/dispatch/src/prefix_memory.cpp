#include "dispatch/prefix_memory.h"

#include <algorithm>

namespace chervilfield::dispatch {

PrefixMemory::Entry &PrefixMemory::touch(std::uint64_t prefix)
{
    const auto [found, isNew] = entries_.try_emplace(prefix);
    if (!isNew) {
        recent_.splice(recent_.begin(), recent_, found->second.position);
        return found->second;
    }
    recent_.push_front(prefix);
    found->second.position = recent_.begin();
    if (entries_.size() > capacity_) {
        entries_.erase(recent_.back());
        recent_.pop_back();
    }
    return found->second;
}

bool PrefixMemory::record(std::uint64_t prefix, const Holder &holder)
{
    Holders &holders = touch(prefix).holders;
    const auto known = std::ranges::find_if(holders, [&](const Holder &h) {
        return h.target == holder.target && h.startedAt == holder.startedAt;
    });
    const bool isNew = known == holders.end();
    if (isNew) {
        std::shift_right(holders.begin(), holders.end(), 1);
        holders.front() = holder;
    } else {
        known->usedAt = holder.usedAt;
        known->readyAt = std::min(known->readyAt, holder.readyAt);
        std::rotate(holders.begin(), known, known + 1);
    }
    return isNew;
}

PrefixMemory::Holders PrefixMemory::holders(std::uint64_t prefix) const
{
    const auto found = entries_.find(prefix);
    return found == entries_.end() ? Holders{} : found->second.holders;
}

} // namespace chervilfield::dispatch
