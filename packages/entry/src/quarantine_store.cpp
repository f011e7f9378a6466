#include "entry/quarantine_store.h"

#include "base/hash.h"
#include "base/numbers.h"
#include "base/result.h"
#include "net/http_server.h"
#include "peers/datagram.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervilfield::entry {

namespace json = boost::json;
using base::Result;
using boost::asio::yield_context;
using quarantine::QuarantinedPart;
using std::chrono::milliseconds;

namespace {

const std::string kTable = "quarantines";
const std::string kKey = "parts";
// Keeps the row below the size limit of the platform.
constexpr std::size_t kMaxSavedQuarantines = 256;

std::optional<milliseconds> findTime(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0)
        return std::nullopt;
    return milliseconds(value->get_int64());
}

std::optional<SavedQuarantine> decodeEntry(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const json::value *part = object->if_contains("part");
    const auto savedAt = findTime(*object, "savedAtMs");
    const auto duration = findTime(*object, "durationMs");
    SavedQuarantine quarantine;
    if (part == nullptr || !part->is_string() || !savedAt || !duration
        || *duration > peers::kMaxQuarantineTime
        || !base::parseHex(std::string_view(part->get_string()), quarantine.part))
        return std::nullopt;
    quarantine.savedAt = *savedAt;
    quarantine.duration = *duration;
    return quarantine;
}

} // namespace

std::string encodeQuarantines(const std::vector<SavedQuarantine> &quarantines)
{
    json::array list;
    for (const SavedQuarantine &quarantine : quarantines) {
        list.push_back(json::object{ { "part", base::toHex(quarantine.part) },
                                     { "savedAtMs", quarantine.savedAt.count() },
                                     { "durationMs", quarantine.duration.count() } });
    }
    return json::serialize(json::object{ { "parts", std::move(list) } });
}

std::optional<std::vector<SavedQuarantine>> decodeQuarantines(std::string_view value,
                                                              std::error_code &error)
{
    boost::system::error_code parseError;
    const json::value document = json::parse(value, parseError);
    if (parseError || !document.is_object()) {
        error = Result::InvalidJson;
        return std::nullopt;
    }
    const json::value *list = document.get_object().if_contains("parts");
    if (list == nullptr || !list->is_array()) {
        error = Result::InvalidField;
        return std::nullopt;
    }
    std::vector<SavedQuarantine> quarantines;
    for (const json::value &item : list->get_array()) {
        if (const auto quarantine = decodeEntry(item))
            quarantines.push_back(*quarantine);
    }
    return quarantines;
}

std::optional<milliseconds> remainingTime(const SavedQuarantine &quarantine, milliseconds wallNow,
                                          milliseconds tolerance)
{
    const milliseconds age = wallNow - quarantine.savedAt;
    if (age < -tolerance || age >= quarantine.duration + tolerance)
        return std::nullopt;
    return std::min(quarantine.duration, quarantine.duration + tolerance - age);
}

QuarantineStore::QuarantineStore(boost::asio::io_context &context, fleet::Store &store,
                                 base::EventLog &log, Hooks hooks, QuarantineStoreOptions options)
    : context_(context), store_(store), log_(log), hooks_(std::move(hooks)),
      options_(std::move(options))
{
}

void QuarantineStore::start()
{
    net::spawnCoroutine(context_, "[entry]", [this](const yield_context &yield) { run(yield); });
}

void QuarantineStore::update(std::vector<QuarantinedPart> active, Clock::time_point now)
{
    active_ = std::move(active);
    std::erase_if(savedUntil_, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(lifted_, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(removed_, [now](const auto &entry) { return entry.second <= now; });
    for (const QuarantinedPart &part : active_) {
        lifted_.erase(part.part);
        removed_.erase(part.part);
    }
    std::erase_if(unconfirmed_, [this](quarantine::PartKey part) {
        return std::ranges::find(active_, part, &QuarantinedPart::part) == active_.end();
    });
    checkEra(now);
    if (unsavedParts(now).empty() && lifted_.empty())
        pendingSince_.reset();
    else if (!pendingSince_)
        pendingSince_ = now;
}

void QuarantineStore::checkEra(Clock::time_point now)
{
    if (store_.era() <= era_)
        return;
    era_ = store_.era();
    if (!isLoaded_)
        return;
    savedUntil_.clear();
    isRowKnown_ = false;
    isRestored_ = true;
    for (const QuarantinedPart &part : active_)
        unconfirmed_.insert(part.part);
    lifted_.merge(removed_);
    removed_.clear();
    // Instances read the row one after another, so that only the first one writes it.
    if (!unconfirmed_.empty() || !lifted_.empty())
        pendingSince_ = now;
    log_.write("quarantine", "store-restored",
               { { "era", era_ }, { "parts", unconfirmed_.size() }, { "lifted", lifted_.size() } });
}

void QuarantineStore::markSaved(const QuarantinedPart &part, Clock::time_point now)
{
    if (!unconfirmed_.contains(part.part))
        recordSaved(part, now);
}

void QuarantineStore::recordSaved(const QuarantinedPart &part, Clock::time_point now)
{
    unconfirmed_.erase(part.part);
    auto &until = savedUntil_[part.part];
    until = std::max(until, now + part.remaining);
}

void QuarantineStore::lift(quarantine::PartKey part, Clock::time_point now)
{
    savedUntil_.erase(part);
    std::erase_if(active_, [part](const QuarantinedPart &active) { return active.part == part; });
    if (hooks_.rank() > options_.maxLiftRank)
        return;
    lifted_[part] = now + peers::kMaxQuarantineTime;
    // Another instance may have saved the quarantine.
    isRowKnown_ = false;
    if (!pendingSince_)
        pendingSince_ = now;
}

bool QuarantineStore::isSaved(const QuarantinedPart &part, Clock::time_point now) const
{
    // An instance that reads the row adds the tolerance, and its clock may be late by as much.
    const auto found = savedUntil_.find(part.part);
    return found != savedUntil_.end()
           && now + part.remaining <= found->second + 2 * options_.clockTolerance;
}

std::vector<QuarantinedPart> QuarantineStore::unsavedParts(Clock::time_point now) const
{
    std::vector<QuarantinedPart> result;
    std::ranges::copy_if(active_, std::back_inserter(result),
                         [&](const QuarantinedPart &part) { return !isSaved(part, now); });
    return result;
}

bool QuarantineStore::isSaveDue(Clock::time_point now) const
{
    if (!pendingSince_)
        return false;
    const milliseconds delay = options_.standbyDelay * static_cast<std::int64_t>(hooks_.rank());
    return now - *pendingSince_ >= std::min(delay, options_.maxStandbyDelay);
}

milliseconds QuarantineStore::wallNow() const
{
    return std::chrono::duration_cast<milliseconds>(options_.wallNow().time_since_epoch());
}

void QuarantineStore::sleepFor(milliseconds time, const yield_context &yield)
{
    boost::asio::steady_timer timer(context_, time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

bool QuarantineStore::load(const yield_context &yield)
{
    std::error_code error;
    const auto rows = store_.readAll(kTable, yield, error);
    if (!rows) {
        log_.write("quarantine", "load-failed",
                   { { "result", base::resultInfo(base::toResult(error)).name } });
        return false;
    }
    const auto now = Clock::now();
    checkEra(now);
    if (rows->era < era_)
        return false;
    isRowKnown_ = true;
    isLoaded_ = true;
    // Other instances know the quarantines in force. A restored row may hold lifted ones besides.
    const bool isRestored = std::exchange(isRestored_, false);
    row_.clear();
    rowVersion_ = { .era = rows->era };
    const auto found = std::ranges::find(rows->rows, kKey, &fleet::StoreRow::key);
    if (found != rows->rows.end()) {
        rowVersion_.version = found->version;
        if (auto decoded = decodeQuarantines(found->value, error)) {
            row_ = *std::move(decoded);
        } else {
            log_.write("quarantine", "row-rejected",
                       { { "result", base::resultInfo(base::toResult(error)).name } });
        }
    }
    const std::size_t rowSize = row_.size();
    std::erase_if(row_, [&](const SavedQuarantine &quarantine) {
        const auto remaining = remainingTime(quarantine, wallNow(), options_.clockTolerance);
        if (!remaining)
            return true;
        if (lifted_.contains(quarantine.part))
            return false;
        const QuarantinedPart part{ .part = quarantine.part, .remaining = *remaining };
        recordSaved(part, now);
        const bool isActive =
                std::ranges::find(active_, part.part, &QuarantinedPart::part) != active_.end();
        if (!isRestored || isActive)
            hooks_.loaded(part);
        return false;
    });
    log_.write("quarantine", "loaded",
               { { "parts", row_.size() },
                 { "ended", rowSize - row_.size() },
                 { "version", rowVersion_.version } });
    return true;
}

std::vector<SavedQuarantine>
QuarantineStore::updatedRow(const std::vector<QuarantinedPart> &unsaved) const
{
    const milliseconds savedAt = wallNow();
    std::vector<SavedQuarantine> row;
    row.reserve(unsaved.size() + row_.size());
    for (const QuarantinedPart &part : unsaved)
        row.push_back({ .part = part.part, .savedAt = savedAt, .duration = part.remaining });
    for (const SavedQuarantine &quarantine : row_) {
        const bool isReplaced = std::ranges::find(unsaved, quarantine.part, &QuarantinedPart::part)
                                != unsaved.end();
        if (!isReplaced && !lifted_.contains(quarantine.part)
            && remainingTime(quarantine, savedAt, options_.clockTolerance))
            row.push_back(quarantine);
    }
    row.resize(std::min(row.size(), kMaxSavedQuarantines));
    return row;
}

bool QuarantineStore::save(const yield_context &yield)
{
    if (!isRowKnown_ && !load(yield))
        return false;
    const auto unsaved = unsavedParts(Clock::now());
    const bool holdsLifted = std::ranges::any_of(
            row_, [this](const auto &quarantine) { return lifted_.contains(quarantine.part); });
    if (unsaved.empty() && !holdsLifted) {
        removed_.merge(lifted_);
        lifted_.clear();
        return true;
    }
    auto row = updatedRow(unsaved);
    // Quarantines that are lifted during the write are not in this set.
    const auto removed = lifted_;
    std::error_code error;
    const auto version = store_.write({ .table = kTable,
                                        .key = kKey,
                                        .expectedVersion = rowVersion_.version,
                                        .value = encodeQuarantines(row) },
                                      yield, error);
    const bool isOtherEra = version && version->era != rowVersion_.era;
    if (!version || isOtherEra) {
        isRowKnown_ = false;
        checkEra(Clock::now());
        log_.write("quarantine", "save-failed",
                   { { "parts", unsaved.size() },
                     { "other_era", isOtherEra },
                     { "result", base::resultInfo(base::toResult(error)).name } });
        return false;
    }
    row_ = std::move(row);
    rowVersion_ = *version;
    for (const auto &[part, endsAt] : removed) {
        lifted_.erase(part);
        removed_[part] = endsAt;
    }
    for (const QuarantinedPart &part : unsaved)
        recordSaved(part, Clock::now());
    log_.write("quarantine", "saved",
               { { "parts", unsaved.size() },
                 { "lifted", removed.size() },
                 { "version", rowVersion_.version } });
    if (!unsaved.empty())
        hooks_.saved(unsaved);
    return true;
}

void QuarantineStore::run(const yield_context &yield)
{
    milliseconds backoff = options_.minBackoff;
    while (!load(yield)) {
        sleepFor(backoff, yield);
        backoff = std::min(options_.maxBackoff, backoff * 2);
    }
    backoff = options_.minBackoff;
    while (true) {
        sleepFor(options_.checkInterval, yield);
        checkEra(Clock::now());
        if (!isSaveDue(Clock::now()))
            continue;
        if (save(yield)) {
            pendingSince_.reset();
            backoff = options_.minBackoff;
            continue;
        }
        sleepFor(backoff, yield);
        backoff = std::min(options_.maxBackoff, backoff * 2);
    }
}

} // namespace chervilfield::entry
