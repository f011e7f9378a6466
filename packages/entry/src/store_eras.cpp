#include "entry/store_eras.h"

#include <algorithm>
#include <utility>

namespace chervilfield::entry {

std::shared_ptr<const fleet::Configuration>
laterConfiguration(std::shared_ptr<const fleet::Configuration> read,
                   std::shared_ptr<const fleet::Configuration> inForce)
{
    if (read == nullptr || (inForce != nullptr && read->version < inForce->version))
        return inForce;
    return read;
}

std::shared_ptr<const fleet::Configuration>
withoutRowVersion(const std::shared_ptr<const fleet::Configuration> &configuration)
{
    if (configuration == nullptr)
        return nullptr;
    auto copy = std::make_shared<fleet::Configuration>(*configuration);
    copy->storeVersion = 0;
    return copy;
}

void PreviousTargets::record(const fleet::TableReplica &replica,
                             const std::vector<fleet::Target> &targets, std::uint64_t firstVersion,
                             Clock::time_point now, Clock::time_point until)
{
    // Restored rows of an era that ended early still stand for what an earlier era knew.
    if (isInUse(now)) {
        std::erase_if(entries_, [&](const auto &entry) {
            const auto row = replica.rows().find(entry.first);
            return row != replica.rows().end() && row->second.version > firstVersion_;
        });
    } else {
        entries_.clear();
    }
    for (const fleet::Target &target : targets) {
        const auto row = replica.rows().find(target.id);
        if (row != replica.rows().end())
            entries_.try_emplace(target.id,
                                 Entry{ .version = row->second.version, .target = target });
    }
    for (const auto &[key, row] : replica.deletedRows())
        entries_.try_emplace(key, Entry{ .version = row.version, .target = {} });
    firstVersion_ = firstVersion;
    until_ = until;
}

std::size_t PreviousTargets::apply(std::vector<fleet::Target> &targets,
                                   const fleet::TableReplica &replica, Clock::time_point now) const
{
    if (!isInUse(now))
        return 0;
    std::size_t count = 0;
    std::erase_if(targets, [&](fleet::Target &target) {
        const auto row = replica.rows().find(target.id);
        const auto known = entries_.find(target.id);
        if (row == replica.rows().end() || known == entries_.end()
            || row->second.version > firstVersion_ || row->second.version >= known->second.version)
            return false;
        // The run of a target that started later registered after the recorded one.
        if (known->second.target && target.startedAt > known->second.target->startedAt)
            return false;
        ++count;
        if (known->second.target)
            target = *known->second.target;
        return !known->second.target.has_value();
    });
    return count;
}

} // namespace chervilfield::entry
