#include "entry/view_updater.h"

#include "row_transfer.h"

#include "base/result.h"
#include "net/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <utility>

namespace chervilfield::entry {

using base::Result;
using boost::asio::yield_context;
using std::chrono::milliseconds;

ViewUpdater::ViewUpdater(boost::asio::io_context &context, fleet::Store &store,
                         const fleet::DeploymentSchema &schema, base::EventLog &log, Hooks hooks,
                         ViewUpdaterOptions options)
    : context_(context), store_(store), schema_(schema), log_(log), hooks_(std::move(hooks)),
      options_(options), retentionTimer_(context), view_(std::make_shared<const fleet::View>())
{
    for (const std::string &table : schema_.tables)
        tables_[table] = {};
}

void ViewUpdater::start()
{
    for (const std::string &table : schema_.tables) {
        net::spawnCoroutine(context_, "[entry]", [this, table](const yield_context &yield) {
            followTable(table, yield);
        });
    }
}

bool ViewUpdater::isStoreResponding(const std::string &table) const
{
    const auto found = storeRespondedAt_.find(table);
    return found != storeRespondedAt_.end()
           && Clock::now() - found->second < options_.maxCurrentAge;
}

bool ViewUpdater::isStoreReachable() const
{
    return std::ranges::all_of(
            schema_.tables, [this](const std::string &table) { return isStoreResponding(table); });
}

std::vector<std::string> ViewUpdater::selectTables(const std::string &table) const
{
    if (table.empty())
        return schema_.tables;
    return tables_.contains(table) ? std::vector{ table } : std::vector<std::string>();
}

bool ViewUpdater::isFresh() const
{
    return age() < options_.maxFreshAge;
}

void ViewUpdater::updateConfirmedAt()
{
    const auto timeOf = [](const auto &times, const std::string &table) {
        const auto found = times.find(table);
        return found == times.end() ? Clock::time_point{} : found->second;
    };
    auto oldest = Clock::now();
    for (const std::string &table : schema_.tables)
        oldest = std::min(oldest, std::max(timeOf(storeRespondedAt_, table),
                                           timeOf(peerRespondedAt_, table)));
    confirmedAt_ = oldest;
}

fleet::StoreVersion ViewUpdater::storeVersion(const std::string &table) const
{
    const auto names = selectTables(table);
    if (names.empty())
        return {};
    constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
    fleet::StoreVersion lowest{ .era = kMax, .version = kMax };
    for (const std::string &name : names)
        lowest = std::min(lowest, tables_.at(name).storeVersion());
    return lowest;
}

bool ViewUpdater::isPollFailing(const std::string &table) const
{
    const auto found = failingTables_.find(table);
    return found != failingTables_.end() && found->second;
}

std::uint64_t ViewUpdater::revision() const
{
    fleet::StoreVersion newest;
    for (const auto &[name, table] : tables_) {
        if (name != schema_.targetTable)
            newest = std::max(newest, { .era = table.era(), .version = table.newestRowVersion() });
    }
    return newest.version;
}

void ViewUpdater::recordStoreResponse(const std::string &table)
{
    if (std::exchange(failingTables_[table], false))
        log_.write("store", "regained", { { "table", table }, { "version", version() } });
    if (table == schema_.targetTable)
        recordTargetsConfirmed();
    storeRespondedAt_[table] = Clock::now();
    updateConfirmedAt();
}

void ViewUpdater::recordTargetsConfirmed()
{
    const auto now = Clock::now();
    // If no poll failed, the last one may have waited for a change up to its timeout.
    const auto timeUnconfirmed =
            now - targetsUnconfirmedSince_.value_or(targetsConfirmedAt_ + options_.longPollTimeout);
    const bool isFirst = targetsConfirmedAt_ == Clock::time_point{};
    targetsUnconfirmedSince_.reset();
    targetsConfirmedAt_ = now;
    if (!isFirst && timeUnconfirmed > options_.outageThreshold) {
        storeRecoveredAt_ = now;
        log_.write("store", "targets-confirmed",
                   { { "silent_ms", std::chrono::duration_cast<milliseconds>(timeUnconfirmed) } });
    }
    scheduleRetentionEnd();
}

void ViewUpdater::recordFollowerResult(const std::string &table, FollowerResult result)
{
    FollowerResult &last =
            followerResults_.try_emplace(table, FollowerResult::NotPolled).first->second;
    if (std::exchange(last, result) == result)
        return;
    constexpr std::array<std::string_view, 3> kNames{ "store", "followers", "none-up-to-date" };
    log_.write("store", "source-changed",
               { { "table", table },
                 { "source", kNames.at(static_cast<std::size_t>(result)) },
                 { "version", version(table) },
                 { "age_ms", std::chrono::duration_cast<milliseconds>(age()) } });
}

void ViewUpdater::recordStoreFailure(const std::string &table, Clock::time_point pollStartedAt,
                                     const std::error_code &error)
{
    if (table == schema_.targetTable && !targetsUnconfirmedSince_)
        targetsUnconfirmedSince_ = pollStartedAt;
    if (failingTables_[table])
        return;
    failingTables_[table] = true;
    log_.write("store", "lost",
               { { "table", table },
                 { "version", version() },
                 { "result", base::resultInfo(base::toResult(error)).name } });
}

bool ViewUpdater::pollStore(const std::string &table, milliseconds wait, const yield_context &yield)
{
    const auto pollStartedAt = Clock::now();
    fleet::TableReplica &replica = tables_[table];
    const fleet::StoreVersion known = replica.storeVersion();
    std::error_code error;
    bool hasChanged = false;
    std::optional<fleet::StoreRows> rows;
    if (storeRespondedAt_.contains(table) && !isEraRequested(table))
        rows = store_.changes(table, known.version, wait, yield, error);
    // After the first full read, another one is needed only if the store has lost the history or
    // was restored to an older copy, in which the same versions stand for other changes.
    const bool needsFullRead = rows ? rows->era > known.era : !error || error == Result::NotFound;
    if (needsFullRead) {
        error.clear();
        rows = store_.readAll(table, yield, error);
    }
    // An answer of an earlier era than the replica is late.
    if (rows && rows->era < replica.era())
        error = Result::StoreUnavailable;
    if (!rows || error) {
        recordStoreFailure(table, pollStartedAt, error);
        return false;
    }
    recordStoreResponse(table);
    const auto previous = completeUntil_.find(table);
    const WeightsEvidence evidence{ .setAfter = previous == completeUntil_.end()
                                                        ? std::nullopt
                                                        : std::optional(previous->second) };
    if (needsFullRead) {
        requestedEras_.erase(table);
        if (rows->era > replica.era())
            beginEra(table, *rows);
    }
    const bool hasTime = rows->storeTime > milliseconds::zero();
    recordCopy(table, hasTime ? storeClock_.observe(rows->storeTime, pollStartedAt, Clock::now())
                              : pollStartedAt);
    hasChanged = needsFullRead ? replica.replace(*rows) : replica.apply(*rows);
    if (hasChanged)
        rebuildView(evidence);
    return true;
}

void ViewUpdater::followTable(const std::string &table, const yield_context &yield)
{
    milliseconds backoff = options_.minBackoff;
    boost::asio::steady_timer timer(context_);
    while (true) {
        const std::uint64_t previousVersion = tables_[table].version();
        boost::system::error_code ignored;
        const bool mayPollFollower = storeRespondedAt_.contains(table) && hooks_.pollFollower
                                     && (!isEraRequested(table) || isPollFailing(table));
        // Each table is copied on its own, so that deregistrations do not wait behind a large
        // configuration.
        const FollowerResult followerResult =
                mayPollFollower ? hooks_.pollFollower(table, yield) : FollowerResult::NotPolled;
        recordFollowerResult(table, followerResult);
        if (followerResult == FollowerResult::UpToDate) {
            timer.expires_after(options_.pollInterval);
            timer.async_wait(yield[ignored]);
            continue;
        }
        // A store that has just failed may be unresponsive. A long poll would then block until its
        // timeout, although the store or a follower may be back long before.
        const bool mayLongPoll =
                followerResult == FollowerResult::NotPolled && !isPollFailing(table);
        if (pollStore(table, mayLongPoll ? options_.longPollTimeout : milliseconds(0), yield)) {
            backoff = options_.minBackoff;
            const bool hasNewTargets =
                    table == schema_.targetTable && tables_[table].version() != previousVersion;
            if (hasNewTargets || !mayLongPoll) {
                timer.expires_after(options_.pollInterval);
                timer.async_wait(yield[ignored]);
            }
            continue;
        }
        timer.expires_after(backoff);
        timer.async_wait(yield[ignored]);
        backoff = std::min(options_.maxBackoff, backoff * 2);
    }
}

void ViewUpdater::retainUnlistedTargets(std::vector<fleet::Target> &targets)
{
    const std::size_t previouslyRetained = std::exchange(retainedTargetCount_, 0);
    const bool hasRecovered = storeRecoveredAt_ == Clock::time_point{}
                              || Clock::now() - storeRecoveredAt_ >= options_.reregistrationTime;
    if (hasRecovered && !targetsUnconfirmedSince_) {
        if (previouslyRetained > 0)
            log_.write("store", "registrations-dropped", { { "targets", previouslyRetained } });
        return;
    }
    for (const fleet::Target &previous : view()->targets()) {
        const bool isListed =
                std::ranges::find(targets, previous.id, &fleet::Target::id) != targets.end();
        if (isListed || previous.state != fleet::TargetState::Ready)
            continue;
        targets.push_back(previous);
        ++retainedTargetCount_;
    }
    if (retainedTargetCount_ > 0)
        log_.write("store", "registrations-kept",
                   { { "targets", retainedTargetCount_ },
                     { "unconfirmed", targetsUnconfirmedSince_.has_value() } });
    scheduleRetentionEnd();
}

void ViewUpdater::scheduleRetentionEnd()
{
    if (retainedTargetCount_ == 0 || targetsUnconfirmedSince_)
        return;
    const auto remaining = storeRecoveredAt_ + options_.reregistrationTime - Clock::now();
    // Without a delay, frequent confirmations cannot postpone a rebuild that is due.
    const bool isDue = remaining <= Clock::duration::zero();
    retentionTimer_.expires_after(
            isDue ? milliseconds(0) : std::chrono::ceil<milliseconds>(remaining) + milliseconds(1));
    retentionTimer_.async_wait([this](const auto &error) {
        if (!error)
            rebuildView();
    });
}

bool ViewUpdater::applyPeerAge(std::vector<fleet::DesiredVersion> &history,
                               const peers::WeightsAge &age, Clock::time_point requestedAt)
{
    // A later version than the rows tell of is added with its row.
    if (history.empty() || age.version > history.back().version)
        return false;
    const auto setAfter = requestedAt - age.maxAge;
    const auto known =
            std::ranges::lower_bound(history, age.version, {}, &fleet::DesiredVersion::version);
    if (known->version != age.version) {
        history.insert(known, { .version = age.version, .setAfter = setAfter });
        return true;
    }
    // Smaller differences come from the transit time of the response.
    constexpr milliseconds kMinCorrection{ 100 };
    if (!known->isAssumed && setAfter < known->setAfter + kMinCorrection)
        return false;
    *known = { .version = age.version, .setAfter = setAfter };
    return true;
}

void ViewUpdater::recordDesiredWeights(const std::map<std::string, std::uint64_t> &weights,
                                       std::optional<Clock::time_point> knownUntil)
{
    for (const auto &[model, version] : weights) {
        auto &history = weightsHistory_[model];
        if (!history.empty() && history.back().version >= version)
            continue;
        const auto setAfter = knownUntil.value_or(startedAt_ - options_.assumedWeightsAge);
        history.push_back({ .version = version, .setAfter = setAfter, .isAssumed = !knownUntil });
        log_.write("view", "weights-named",
                   { { "model", model },
                     { "weights", version },
                     { "max_age_ms",
                       std::chrono::duration_cast<milliseconds>(Clock::now() - setAfter) },
                     { "assumed", !knownUntil } });
        constexpr std::size_t kMaxVersions = 32;
        if (history.size() > kMaxVersions)
            history.erase(history.begin());
    }
}

bool ViewUpdater::applyPeerAges(const WeightsEvidence &evidence)
{
    bool hasChanged = false;
    for (const peers::WeightsAge &age : evidence.peerAges) {
        const auto found = weightsHistory_.find(age.model);
        if (found == weightsHistory_.end()
            || !applyPeerAge(found->second, age, evidence.requestedAt))
            continue;
        hasChanged = true;
        log_.write("view", "weights-age-from-peer",
                   { { "model", age.model },
                     { "weights", age.version },
                     { "max_age_ms", age.maxAge } });
    }
    return hasChanged;
}

std::vector<peers::WeightsAge> ViewUpdater::weightsAges() const
{
    // Engines have older weights for seconds only.
    constexpr std::chrono::seconds kMaxReplacedAge{ 60 };
    std::vector<peers::WeightsAge> ages;
    const auto now = Clock::now();
    for (const auto &[model, history] : weightsHistory_) {
        for (const fleet::DesiredVersion &desired : history) {
            const bool isLatest = &desired == &history.back();
            if (desired.isAssumed || (!isLatest && now - desired.setAfter > kMaxReplacedAge))
                continue;
            ages.push_back({ .model = model,
                             .version = desired.version,
                             .maxAge = std::chrono::ceil<milliseconds>(now - desired.setAfter) });
        }
    }
    return ages;
}

bool ViewUpdater::needsWeightsAges() const
{
    return Clock::now() - startedAt_ < options_.settleTime
           && std::ranges::any_of(weightsHistory_, [](const auto &entry) {
                  return !entry.second.empty() && entry.second.back().isAssumed;
              });
}

void ViewUpdater::recordCopy(const std::string &table, Clock::time_point time)
{
    // A change that the store has lost is not known before it is written again.
    if (completeUntil_.contains(table) && Clock::now() < eraSettledAt_)
        return;
    auto &known = completeUntil_.try_emplace(table, time).first->second;
    known = std::max(known, time);
}

std::optional<ViewUpdater::Clock::time_point>
ViewUpdater::completeUntil(const std::vector<std::string> &tables) const
{
    std::optional<Clock::time_point> oldest;
    for (const std::string &table : tables) {
        const auto found = completeUntil_.find(table);
        if (found == completeUntil_.end())
            return std::nullopt;
        oldest = oldest ? std::min(*oldest, found->second) : found->second;
    }
    return oldest;
}

void ViewUpdater::scheduleRebuild(milliseconds delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer](const auto &error) {
        if (!error)
            rebuildView();
    });
}

void ViewUpdater::rebuildView(const WeightsEvidence &evidence)
{
    const auto startedAt = Clock::now();
    const fleet::ViewPtr previousView = view();
    auto previous = previousView->sharedConfiguration();
    const std::uint64_t previousEra = std::exchange(configurationEra_, storeEra());
    if (previousEra != configurationEra_)
        previous = withoutRowVersion(previous);
    fleet::Deployment deployment = schema_.readDeployment(tables_, previous);
    if (configurationEra_ > 0)
        deployment.configuration =
                laterConfiguration(std::move(deployment.configuration), previous);
    for (const fleet::RejectedRow &row : deployment.rejectedRows) {
        std::string &previous = reportedReasons_[row.table + '/' + row.key];
        if (std::exchange(previous, row.reason) != row.reason)
            log_.write("store", "row-rejected",
                       { { "table", row.table }, { "key", row.key }, { "reason", row.reason } });
    }
    // If the configuration row cannot be read, the new view is incomplete.
    previousTargets_.apply(deployment.targets, tables_.at(schema_.targetTable), startedAt);
    retainUnlistedTargets(deployment.targets);
    recordDesiredWeights(deployment.desiredWeights, evidence.setAfter);
    applyPeerAges(evidence);
    const auto view = std::make_shared<const fleet::View>(
            deployment.configuration, std::move(deployment.targets), weightsHistory_, version(),
            previousView.get());
    const auto configurationVersion = [](const fleet::View &v) {
        return v.isComplete() ? v.configuration().version : 0;
    };
    view_ = view;
    log_.write("view", "published",
               { { "version", view->storeVersion() },
                 { "configuration", configurationVersion(*view) },
                 { "before", configurationVersion(*previousView) },
                 { "targets", view->targets().size() },
                 { "build_ms", Clock::now() - startedAt } });
    hooks_.published(view);
}

peers::ConfigurationEntries ViewUpdater::entries(const peers::EntriesQuery &query) const
{
    const auto names = selectTables(query.table);
    const std::uint64_t era = storeVersion(query.table).era;
    peers::ConfigurationEntries result{ .revisionInForce = 0, .entries = {}, .storeEra = era };
    const bool isOneEra = std::ranges::all_of(
            names, [&](const std::string &name) { return tables_.at(name).era() == era; });
    if (!isOneEra || query.storeEra > era)
        return result;
    // Versions of an earlier era do not tell which rows the peer has.
    const std::uint64_t after = query.storeEra == era ? query.after : 0;
    std::map<std::uint64_t, std::vector<const fleet::StoreRow *>> rowsByVersion;
    std::vector<fleet::StoreRows> changes;
    changes.reserve(names.size());
    for (const std::string &name : names)
        changes.push_back(tables_.at(name).changesAfter(after));
    for (std::size_t i = 0; i < names.size(); ++i) {
        for (const fleet::StoreRow &row : changes[i].rows)
            rowsByVersion[row.version].push_back(&row);
        if (changes[i].presentKeys)
            result.presentKeys[names[i]] = *std::move(changes[i].presentKeys);
    }
    // Revision 0 tells the peer that the rows may be out of date or incomplete.
    const bool isUpToDate = std::ranges::all_of(names, [this](const std::string &name) {
        return isStoreResponding(name)
               && !(name == schema_.targetTable && targetsUnconfirmedSince_);
    });
    result.weightsAges = weightsAges();
    if (const auto time = completeUntil(names))
        result.age = std::chrono::ceil<milliseconds>(Clock::now() - *time);
    for (const auto &[rowVersion, rows] : rowsByVersion) {
        if (query.acceptsCompressed)
            result.entries.push_back(
                    compressedEntry(query.table, { .era = era, .version = rowVersion }, rows));
        else
            result.entries.push_back({ rowVersion, detail::encodeRows(rows) });
    }
    if (isUpToDate && peers::fitsTransfer(result))
        result.revisionInForce = version(query.table);
    else
        result.presentKeys.clear();
    return result;
}

peers::ConfigurationEntry
ViewUpdater::compressedEntry(const std::string &table, const fleet::StoreVersion &version,
                             const std::vector<const fleet::StoreRow *> &rows) const
{
    EntryKey key{ .version = version, .rows = {}, .table = table };
    for (const fleet::StoreRow *row : rows)
        key.rows.emplace_back(row->table, row->key, row->isDeleted);
    const auto found = compressedEntries_.find(key);
    if (found != compressedEntries_.end())
        return found->second;
    peers::ConfigurationEntry entry{ .revision = version.version,
                                     .value = detail::encodeRows(rows) };
    peers::compressValue(entry);
    if (!entry.isCompressed)
        return entry;
    constexpr std::size_t kMaxEntries = 8;
    if (compressedEntries_.size() == kMaxEntries)
        compressedEntries_.erase(compressedEntries_.begin());
    return compressedEntries_.emplace(key, std::move(entry)).first->second;
}

bool ViewUpdater::merge(const peers::ConfigurationEntries &entries, Clock::time_point requestedAt,
                        const std::string &table)
{
    const auto names = selectTables(table);
    const auto [byTable, isUpToDate] = detail::decodeRows(entries, names);
    if (!mayMerge(byTable, names))
        return false;
    bool hasChanged = false;
    for (const std::string &name : names) {
        const fleet::StoreRows &rows = byTable.at(name);
        const bool isNewEra = rows.era > tables_.at(name).era();
        if (isNewEra)
            beginEra(name, rows);
        hasChanged = (isNewEra ? tables_.at(name).replace(rows) : tables_.at(name).apply(rows))
                     || hasChanged;
    }
    const WeightsEvidence evidence{ .setAfter = completeUntil(names),
                                    .peerAges = entries.weightsAges,
                                    .requestedAt = requestedAt };
    if (isUpToDate) {
        // A peer that sends no age has heard from the store within `maxCurrentAge`.
        const auto copiedAt = requestedAt - entries.age.value_or(options_.maxCurrentAge);
        for (const std::string &name : names) {
            recordCopy(name, copiedAt);
            peerRespondedAt_[name] = Clock::now();
            if (name == schema_.targetTable)
                recordTargetsConfirmed();
        }
        updateConfirmedAt();
    }
    if (hasChanged) {
        log_.write("view", "taken-from-peer", { { "version", entries.revisionInForce } });
        rebuildView(evidence);
    } else if (applyPeerAges(evidence)) {
        rebuildView();
    }
    return isUpToDate;
}

} // namespace chervilfield::entry
