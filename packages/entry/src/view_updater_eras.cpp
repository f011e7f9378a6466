// Parts of `ViewUpdater` that handle a store that was restored to an older copy.

#include "row_transfer.h"

#include "entry/view_updater.h"

#include <algorithm>
#include <utility>

namespace chervilfield::entry {

using std::chrono::milliseconds;

std::uint64_t ViewUpdater::storeEra() const
{
    std::uint64_t era = 0;
    for (const auto &[name, table] : tables_) {
        if (name != schema_.targetTable)
            era = std::max(era, table.era());
    }
    return era;
}

void ViewUpdater::requestEra(std::uint64_t storeEra)
{
    // A peer that states an impossible era causes one read of each table.
    if (storeEra <= highestRequestedEra_)
        return;
    highestRequestedEra_ = storeEra;
    for (const auto &[name, table] : tables_) {
        if (table.era() < storeEra)
            requestedEras_[name] = storeEra;
    }
}

bool ViewUpdater::isEraRequested(const std::string &table) const
{
    const auto found = requestedEras_.find(table);
    return found != requestedEras_.end() && tables_.at(table).era() < found->second;
}

void ViewUpdater::beginEra(const std::string &table, const fleet::StoreRows &copy)
{
    const fleet::TableReplica &replica = tables_.at(table);
    // The first copy of an instance that has just started does not end an era.
    if (replica.storeVersion() == fleet::StoreVersion{})
        return;
    const auto now = Clock::now();
    log_.write("store", "restored",
               { { "table", table },
                 { "era", copy.era },
                 { "before", replica.era() },
                 { "version", copy.version },
                 { "version_before", replica.version() } });
    // The clock of the restored store may be another one.
    storeClock_ = {};
    eraSettledAt_ = now + options_.reregistrationTime;
    if (table != schema_.targetTable)
        return;
    previousTargets_.record(replica, view()->targets(), copy.version, now, eraSettledAt_);
    storeRecoveredAt_ = now;
    scheduleRebuild(options_.reregistrationTime + milliseconds(1));
}

bool ViewUpdater::mayMerge(const std::map<std::string, fleet::StoreRows> &rows,
                           const std::vector<std::string> &tables)
{
    return std::ranges::all_of(tables, [&](const std::string &name) {
        const fleet::StoreRows &copy = rows.at(name);
        const std::uint64_t era = tables_.at(name).era();
        if (copy.era <= era)
            return copy.era == era;
        requestEra(copy.era);
        // The store itself tells the era with more certainty, as long as it responds.
        return (isPollFailing(name) || !storeRespondedAt_.contains(name))
               && detail::isCompleteCopy(copy);
    });
}

} // namespace chervilfield::entry
