#pragma once

#include "base/boot_clock.h"
#include "fleet/configuration.h"
#include "fleet/replica.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilfield::entry {

/// Returns the configuration to put in force after `read` was read from an era of the store after
/// the first one. The version of a configuration only increases, so a lower one, or none, comes
/// from a restored copy, and `inForce` stays. Both may be null.
std::shared_ptr<const fleet::Configuration>
laterConfiguration(std::shared_ptr<const fleet::Configuration> read,
                   std::shared_ptr<const fleet::Configuration> inForce);

/// Returns a copy without the version of its row, which does not identify the row in another era.
/// `configuration` may be null.
std::shared_ptr<const fleet::Configuration>
withoutRowVersion(const std::shared_ptr<const fleet::Configuration> &configuration);

/// What was known of the targets when a new era of the store was found. For a limited time, it
/// replaces older rows of the restored copy: the targets write again what was lost. Rows that are
/// written after the first copy of the era was read are never replaced. Targets without a row are
/// not added.
class PreviousTargets
{
public:
    using Clock = base::BootClock;

    /// Records the table and its decoded targets before the first copy of a new era, which has
    /// `firstVersion`, replaces it. The record is used before `until`.
    void record(const fleet::TableReplica &replica, const std::vector<fleet::Target> &targets,
                std::uint64_t firstVersion, Clock::time_point now, Clock::time_point until);

    /// Returns true if a new era was found and its targets may still have to register again.
    bool isInUse(Clock::time_point now) const { return now < until_; }

    /// Replaces targets whose row in the replica is older than the recorded one, and removes those
    /// that were known to be deleted later. Returns the number of these targets.
    std::size_t apply(std::vector<fleet::Target> &targets, const fleet::TableReplica &replica,
                      Clock::time_point now) const;

private:
    struct Entry
    {
        std::uint64_t version = 0;           ///< Of the row or its deletion in the previous era.
        std::optional<fleet::Target> target; ///< No value if the row was deleted.
    };

    std::map<std::string, Entry> entries_; ///< By key of the row.
    std::uint64_t firstVersion_ = 0;
    Clock::time_point until_{};
};

} // namespace chervilfield::entry
